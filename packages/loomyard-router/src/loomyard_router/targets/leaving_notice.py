"""A leaving record on its direct way to a few other routers."""

from __future__ import annotations

from attrs import frozen

from loomyard_router.peers.message_types import peer_message


@peer_message("leaving")
@frozen(kw_only=True)
class LeavingNotice:
    """The number of a leaving record; ``topic`` and ``key`` as in the gossip."""

    topic: str
    key: str
    value: int
