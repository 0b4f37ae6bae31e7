"""Notification of the order controller about requests refused for lack of a target."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

from loomyard_router.peers.message_types import peer_message
from loomyard_router.shares.allocator_selection import find_allocator

if TYPE_CHECKING:
    from loomyard.clock import Clock
    from loomyard_router.members.membership import Member, Membership
    from loomyard_router.orders.local_backlog import LocalBacklog
    from loomyard_router.peers.links import PeerLinks

# Shorter than half of REFUSAL_SECONDS, so that a lasting backlog is seen without gaps even if one
# notice is lost.
REPEAT_SECONDS = 2.0


@peer_message("wanted")
@frozen(kw_only=True)
class RefusalNotice:
    """A router refused a request, since no target accepts work for its service."""

    service: str


class RefusalNotifier:
    """Send refusals of this router to the order controller, and record those of other routers.

    Requests for a service that no target has loaded are refused instead of queued, so that the
    controller would not see them in any backlog.
    """

    def __init__(
        self, clock: Clock, members: Membership, peers: PeerLinks, backlog: LocalBacklog
    ) -> None:
        self._clock = clock
        self._members = members
        self._peers = peers
        self._backlog = backlog
        self._next_at: dict[str, float] = {}
        backlog.subscribe(self._send_notice)
        peers.handle(RefusalNotice, self._handle_notice)

    def _send_notice(self, service: str) -> None:
        now = self._clock.now()
        controller = find_allocator(self._members)
        if controller == self._members.own.name or now < self._next_at.get(service, now):
            return
        self._next_at[service] = now + REPEAT_SECONDS
        self._peers.send(controller, RefusalNotice(service=service))

    def _handle_notice(self, _: Member, notice: RefusalNotice) -> None:
        self._backlog.record_remote_refusal(notice.service)
