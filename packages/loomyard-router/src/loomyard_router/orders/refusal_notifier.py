"""Tell the keeper of orders of services that requests were refused for want of."""

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

# Shorter than a refusal counts, so that a lasting want has no gaps; one may be lost.
REPEAT_SECONDS = 2.0


@peer_message("wanted")
@frozen(kw_only=True)
class RefusalNotice:
    """A request of a service was refused, since no target takes work of it."""

    service: str


class RefusalNotifier:
    """Nothing queues for a service that is loaded nowhere, so refusals are told instead."""

    def __init__(
        self, clock: Clock, members: Membership, peers: PeerLinks, backlog: LocalBacklog
    ) -> None:
        self._clock = clock
        self._members = members
        self._peers = peers
        self._backlog = backlog
        self._next_at: dict[str, float] = {}
        backlog.subscribe(self._tell)
        peers.handle(RefusalNotice, self._hear)

    def _tell(self, service: str) -> None:
        now = self._clock.now()
        keeper = find_allocator(self._members)
        if keeper == self._members.own.name or now < self._next_at.get(service, now):
            return
        self._next_at[service] = now + REPEAT_SECONDS
        self._peers.send(keeper, RefusalNotice(service=service))

    def _hear(self, _: Member, notice: RefusalNotice) -> None:
        self._backlog.record_remote_refusal(notice.service)
