"""What the router that polls a target found, as it goes between routers."""

from __future__ import annotations

from attrs import frozen

from loomyard_router.peers.message_types import peer_message


@peer_message("slots")
@frozen(kw_only=True)
class SlotsNotice:
    """A slot estimate; of one target the greater ``sequence`` is the newer."""

    target: str
    sequence: int
    slots: int
