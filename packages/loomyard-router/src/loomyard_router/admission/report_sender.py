"""Send reports of usage to the router above in the share tree."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Ok

from loomyard_router.admission.share_messages import (
    OwnUsage,
    ReportsMoved,
    UsageReply,
    UsageReport,
)

if TYPE_CHECKING:
    from loomyard.clock import Clock
    from loomyard_router.admission.report_parent import ReportParent
    from loomyard_router.members.membership import Membership
    from loomyard_router.peers.links import PeerLinks

REPLY_SECONDS = 0.2


class ReportSender:
    """Report to one router at a time, and tell the others that it is not to them any more.

    What a router told stays in the sums while it is silent, so it has to say where it left.
    """

    def __init__(
        self, *, clock: Clock, members: Membership, peers: PeerLinks, parent: ReportParent
    ) -> None:
        self._clock = clock
        self._members = members
        self._peers = peers
        self._parent = parent
        self._reported_to: str | None = None
        self._left: set[str] = set()

    def send(self, report: UsageReport, own: OwnUsage | None) -> UsageReply | None:
        """Report and return the reply, ``None`` without one in time.

        ``own`` is the part that this router measured, where the report sums up others too.
        """
        parent = self._parent.name or self._parent.other_root
        self._leave_others(parent)
        if parent is None:
            return None
        if own is not None:
            self._peers.send(parent, own)
        deadline = self._clock.now() + REPLY_SECONDS
        match self._peers.request(parent, report, deadline, urgent=True):
            case Ok(UsageReply() as reply):
                self._parent.record_reply(parent)
                return reply
        self._parent.record_missed_reply()
        return None

    def leave_all(self) -> None:
        """Report to no other router, as this one is the root."""
        self._leave_others(None)

    def _leave_others(self, parent: str | None) -> None:
        if self._reported_to is not None and self._reported_to != parent:
            self._left.add(self._reported_to)
        self._reported_to = parent
        live = {member.name for member in self._members.live()}
        self._left = {
            name
            for name in (self._left & live) - {parent}
            if not self._peers.send(name, ReportsMoved())
        }
