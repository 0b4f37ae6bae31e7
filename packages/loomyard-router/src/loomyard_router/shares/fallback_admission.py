"""Admission of requests while this router has no valid lease of slots."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from loomyard.rendezvous import choose
from loomyard_router.shares.short_ids import short_id

if TYPE_CHECKING:
    from collections.abc import Callable

    from loomyard_router.members.membership import Membership
    from loomyard_router.shares.account_levels import AccountLevels
    from loomyard_router.shares.request_queues import RequestQueues
    from loomyard_router.shares.slot_choice import SlotChoice
    from loomyard_router.shares.waiting import WaitingRequest


class FallbackAdmission:
    """Admit one request at a time for each service, so that work goes on without a lease.

    ``start`` starts a request on a target at a moment.
    """

    def __init__(
        self,
        *,
        members: Membership,
        queues: RequestQueues,
        levels: AccountLevels,
        choice: SlotChoice,
        start: Callable[[WaitingRequest, bytes, float], None],
    ) -> None:
        self._members = members
        self._queues = queues
        self._levels = levels
        self._choice = choice
        self._start = start
        self._in_flight: Counter[str] = Counter()

    def begin_request(self, service: str) -> None:
        """Count a request in flight for a service."""
        self._in_flight[service] += 1

    def end_request(self, service: str) -> None:
        """Count the end of a request in flight."""
        self._in_flight[service] -= 1

    def admit(self, now: float) -> None:
        """Start a request of each service that has none in flight, of the lowest-level account.

        Rendezvous hashing of the router's name spreads the routers over the targets.
        """
        for service in self._queues.services:
            queues = self._queues.for_service(service)
            if queues is None or self._in_flight[service]:
                continue
            name = min(queues.accounts, key=lambda a: self._levels.level(short_id(a)))
            waiting = queues.head(name)
            usable = [t for t in waiting.targets_by_id if self._choice.is_usable(t, waiting)]
            if usable:
                own = self._members.own.name
                names = {waiting.targets_by_id[t].metadata.name: t for t in usable}
                self._start(waiting, names[choose(own, names)], now)
