"""The ``local`` policy: each router is fair on its own, over a fixed share of the slots."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from loomyard_router.shares.admission import Admission
from loomyard_router.shares.request_queues import RequestQueues
from loomyard_router.shares.service_counters import ServiceCounters

if TYPE_CHECKING:
    from result import Result

    from loomyard.clock import Clock
    from loomyard.errors import Fault
    from loomyard.objects import Target
    from loomyard.routing import Routing
    from loomyard_router.shares.waiting import WaitingRequest


class LocalPolicy:
    """Admit the account with the least normalized service, within this router's share of slots.

    ``position`` is the router's position, from 0, among ``routers`` routers.
    """

    def __init__(self, clock: Clock, *, position: int, routers: int) -> None:
        self._clock = clock
        self._position = position
        self._routers = routers
        self._queues = RequestQueues(clock)
        self._running: Counter[str] = Counter()
        self._counters = ServiceCounters()
        self._slots_before: dict[str, int] = {}

    def submit(self, waiting: WaitingRequest) -> Result[None, Fault]:
        pushed = self._queues.push(waiting)
        if pushed.is_ok():
            self._counters.activate(waiting.account)
            self._admit(waiting.service.metadata.name)
        return pushed

    def withdraw(self, waiting: WaitingRequest) -> bool:
        removed = self._queues.remove(waiting)
        if removed:
            self._counters.deactivate(waiting.account)
        return removed

    def charge(self, admission: Admission, cost: float) -> None:
        self._counters.add(admission.waiting.account, cost - admission.charged)
        admission.charged = cost

    def finish(self, admission: Admission, cost: float) -> None:
        self.charge(admission, cost)
        self._running[admission.target.metadata.name] -= 1
        self._counters.deactivate(admission.waiting.account)
        for service in admission.target.services:
            self._admit(service)

    def reconfigure(self, routing: Routing) -> None:
        self._slots_before = _sum_before(routing)
        for service in self._queues.services:
            self._admit(service)

    def start(self) -> None:
        pass

    def stop(self) -> None:
        pass

    def _admit(self, service: str) -> None:
        while (queues := self._queues.for_service(service)) is not None:
            ready = [name for name in queues.accounts if self._find_slot(queues.head(name))]
            if not ready:
                return
            waiting = self._queues.pop(service, min(ready, key=self._counters.level))
            target = self._find_slot(waiting)
            assert target is not None
            self._running[target.metadata.name] += 1
            admission = Admission(waiting=waiting, target=target, admitted_at=self._clock.now())
            self.charge(admission, waiting.estimate)
            waiting.admitted.set(admission)

    def _find_slot(self, waiting: WaitingRequest) -> Target | None:
        free = [target for target in waiting.targets if self._free(target) > 0]
        return max(free, key=self._free, default=None)

    def _free(self, target: Target) -> int:
        share, remainder = divmod(target.slots, self._routers)
        # The remainders are dealt round-robin over all targets, so that no router gets no slots.
        first = self._slots_before.get(target.metadata.name, 0)
        extra = 1 if (self._position - first) % self._routers < remainder else 0
        return share + extra - self._running[target.metadata.name]


def _sum_before(routing: Routing) -> dict[str, int]:
    before: dict[str, int] = {}
    total = 0
    for name, target in sorted(routing.targets.items()):
        before[name] = total
        total += target.slots
    return before


def make_local_policy(clock: Clock, *, position: int = 0, routers: int = 1) -> LocalPolicy:
    """Return the ``local`` policy of the router at ``position`` among ``routers`` routers."""
    return LocalPolicy(clock, position=position, routers=routers)
