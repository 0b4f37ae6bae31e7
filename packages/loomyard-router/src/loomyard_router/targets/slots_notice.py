"""The peer message that carries a slot estimate."""

from __future__ import annotations

from attrs import frozen

from loomyard_router.peers.message_types import peer_message


@peer_message("slots")
@frozen(kw_only=True)
class SlotsNotice:
    """The slot estimate of a target; the greater ``sequence`` is the newer."""

    target: str
    sequence: int
    slots: int
