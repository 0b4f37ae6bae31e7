"""Bounded request queues of a router, over all services."""

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

MIN_RETRY_AFTER = 0.5
MAX_RETRY_AFTER = 60.0
DEFAULT_RETRY_AFTER = 1.0
# Refused callers are asked to retry when this fraction of the queue has drained.
RETRY_AFTER_FRACTION = 0.25
# A request is refused for its deadline only if the expected wait is this many times as long.
DEADLINE_MISS_FACTOR = 2.0


class RequestQueues:
    """Queues by service and account; refuse requests beyond a limit or clearly too late."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._services: dict[str, AccountQueues] = {}
        self._drains: defaultdict[tuple[str, str], DrainRate] = defaultdict(
            lambda: DrainRate(clock.now())
        )

    @property
    def services(self) -> list[str]:
        """Return the names of the services for which requests wait."""
        return list(self._services)

    def for_service(self, service: str) -> AccountQueues | None:
        """Return the queues of a service, ``None`` if no request waits."""
        return self._services.get(service)

    def length(self, service: str, account: str) -> int:
        """Return the number of requests of an account that wait for a service."""
        queues = self._services.get(service)
        return queues.length(account) if queues else 0

    def push(self, waiting: WaitingRequest) -> Result[None, Fault]:
        """Append a request to the queue of its service and account.

        Errors: ``QUEUE_FULL``, ``DEADLINE_UNREACHABLE``, both with ``retry_after``.
        """
        service, account = waiting.service.metadata.name, waiting.account.metadata.name
        length = self.length(service, account)
        drain = self._drains[service, account]
        if length >= waiting.account.queue_limit:
            detail = f"queue full: {length} requests of the client account wait already"
            return _refuse(ResultCode.QUEUE_FULL, detail, _retry_after(drain, length))
        expected = drain.expected_seconds(length + 1)
        if drain.known and expected > DEADLINE_MISS_FACTOR * (waiting.deadline - self._clock.now()):
            detail = f"expected queue wait of {expected:.1f} s is too long for the deadline"
            return _refuse(ResultCode.DEADLINE_UNREACHABLE, detail, _retry_after(drain, length))
        if not length:
            drain.restart(self._clock.now())
        self._services.setdefault(service, AccountQueues()).push(waiting)
        return Ok(None)

    def pop(self, service: str, account: str) -> WaitingRequest:
        """Remove and return the oldest request of an account for a service."""
        queues = self._services[service]
        waiting = queues.pop(account)
        self._drains[service, account].record_admission(self._clock.now())
        if not len(queues):
            del self._services[service]
        return waiting

    def remove(self, waiting: WaitingRequest) -> bool:
        """Remove a request; return false if it is not queued."""
        service = waiting.service.metadata.name
        queues = self._services.get(service)
        if queues is None or not queues.remove(waiting):
            return False
        if not len(queues):
            del self._services[service]
        return True


def _retry_after(drain: DrainRate, length: int) -> float:
    if not drain.known:
        return DEFAULT_RETRY_AFTER
    seconds = drain.expected_seconds(length) * RETRY_AFTER_FRACTION
    return min(MAX_RETRY_AFTER, max(MIN_RETRY_AFTER, seconds))


def _refuse(code: ResultCode, detail: str, retry_after: float) -> Err[Fault]:
    return Err(Fault(code=code, detail=detail, retry_after=retry_after))
