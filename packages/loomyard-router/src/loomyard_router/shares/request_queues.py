"""The queues of a router over all services, and their limits."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from loomyard.errors import Fault, ResultCode
from loomyard_router.shares.account_queues import AccountQueues
from loomyard_router.shares.drain_rate import DrainRate

if TYPE_CHECKING:
    from loomyard.clock import Clock
    from loomyard_router.shares.waiting import WaitingRequest

LEAST_RETRY_AFTER = 0.5
MOST_RETRY_AFTER = 60.0
UNKNOWN_RETRY_AFTER = 1.0
# A refused caller returns when this part of the queue has drained.
RETRY_AFTER_PART = 0.25
# A deadline is refused only where the expected wait passes it by this factor.
CLEAR_FACTOR = 2.0


class RequestQueues:
    """Queues by service and account, bounded; work that clearly cannot be in time is refused."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._services: dict[str, AccountQueues] = {}
        self._drains: defaultdict[tuple[str, str], DrainRate] = defaultdict(
            lambda: DrainRate(clock.now())
        )

    @property
    def services(self) -> list[str]:
        """Return the services for which requests wait."""
        return list(self._services)

    def of(self, service: str) -> AccountQueues | None:
        """Return the queues of a service, ``None`` where nothing waits."""
        return self._services.get(service)

    def length(self, service: str, account: str) -> int:
        """Return how many requests of an account wait for a service."""
        queues = self._services.get(service)
        return queues.length(account) if queues else 0

    def push(self, waiting: WaitingRequest) -> Result[None, Fault]:
        """Add a request.

        Errors: ``QUEUE_FULL``, ``DEADLINE_UNREACHABLE``, both with ``retry_after``.
        """
        service, account = waiting.service.metadata.name, waiting.account.metadata.name
        length = self.length(service, account)
        drain = self._drains[service, account]
        if length >= waiting.account.queue_limit:
            detail = f"{length} requests wait already"
            return _refuse(ResultCode.QUEUE_FULL, detail, _retry_after(drain, length))
        expected = drain.seconds(length + 1)
        if drain.known and expected > CLEAR_FACTOR * (waiting.deadline - self._clock.now()):
            detail = f"the queue takes about {expected:.1f} s"
            return _refuse(ResultCode.DEADLINE_UNREACHABLE, detail, _retry_after(drain, length))
        if not length:
            drain.begin(self._clock.now())
        self._services.setdefault(service, AccountQueues()).push(waiting)
        return Ok(None)

    def pop(self, service: str, account: str) -> WaitingRequest:
        """Take the oldest request of an account for a service."""
        queues = self._services[service]
        waiting = queues.pop(account)
        self._drains[service, account].note(self._clock.now())
        if not len(queues):
            del self._services[service]
        return waiting

    def remove(self, waiting: WaitingRequest) -> bool:
        """Take a request out; false where it is not there."""
        service = waiting.service.metadata.name
        queues = self._services.get(service)
        if queues is None or not queues.remove(waiting):
            return False
        if not len(queues):
            del self._services[service]
        return True


def _retry_after(drain: DrainRate, length: int) -> float:
    if not drain.known:
        return UNKNOWN_RETRY_AFTER
    seconds = drain.seconds(length) * RETRY_AFTER_PART
    return min(MOST_RETRY_AFTER, max(LEAST_RETRY_AFTER, seconds))


def _refuse(code: ResultCode, detail: str, retry_after: float) -> Err[Fault]:
    return Err(Fault(code=code, detail=detail, retry_after=retry_after))
