"""The ``fifo`` policy: admit each request on arrival, without fairness between accounts."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from result import Ok, Result

from loomyard_router.shares.admission import Admission

if TYPE_CHECKING:
    from loomyard.clock import Clock
    from loomyard.errors import Fault
    from loomyard.routing import Routing
    from loomyard_router.shares.waiting import WaitingRequest


class FifoPolicy:
    """Admit at once, to the target with the fewest running requests of this router per slot."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._running: Counter[str] = Counter()

    def submit(self, waiting: WaitingRequest) -> Result[None, Fault]:
        target = min(waiting.targets, key=lambda t: self._running[t.metadata.name] / t.slots)
        self._running[target.metadata.name] += 1
        now = self._clock.now()
        waiting.admitted.set(Admission(waiting=waiting, target=target, admitted_at=now))
        return Ok(None)

    def withdraw(self, waiting: WaitingRequest) -> bool:
        return False

    def charge(self, admission: Admission, cost: float) -> None:
        admission.charged = cost

    def finish(self, admission: Admission, cost: float) -> None:
        admission.charged = cost
        self._running[admission.target.metadata.name] -= 1

    def reconfigure(self, routing: Routing) -> None:
        pass

    def start(self) -> None:
        pass

    def stop(self) -> None:
        pass


def make_fifo_policy(clock: Clock) -> FifoPolicy:
    """Return a ``fifo`` policy."""
    return FifoPolicy(clock)
