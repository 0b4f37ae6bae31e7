"""Sending of the messages of the ``fleet`` policy."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loomyard_router.peers.compact_codec import pack
from loomyard_router.shares.messages import ShareReply, ShareReport, ShareReset

if TYPE_CHECKING:
    from collections.abc import Callable

    from loomyard_router.members.membership import Member, Membership
    from loomyard_router.peers.links import PeerLinks

ShareMessage = ShareReport | ShareReply | ShareReset


class ShareSender:
    """Send messages to routers; those to this router itself go to ``deliver`` synchronously."""

    def __init__(
        self,
        members: Membership,
        peers: PeerLinks,
        *,
        deliver: Callable[[Member, ShareMessage], None],
    ) -> None:
        self._members = members
        self._peers = peers
        self._deliver = deliver

    def send(self, to: str, message: ShareMessage) -> int:
        """Send a message to a router by name; return its size in bytes, 0 to this router itself."""
        own = self._members.own
        if to == own.name:
            self._deliver(own, message)
            return 0
        self._peers.send(to, message)
        return len(pack(message))
