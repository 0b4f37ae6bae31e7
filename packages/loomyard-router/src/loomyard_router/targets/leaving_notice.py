"""The peer message that carries a leaving record."""

from __future__ import annotations

from attrs import frozen

from loomyard_router.peers.message_types import peer_message


@peer_message("leaving")
@frozen(kw_only=True)
class LeavingNotice:
    """A leaving record; ``value`` is its integer, ``topic`` and ``key`` are as in the gossip."""

    topic: str
    key: str
    value: int
