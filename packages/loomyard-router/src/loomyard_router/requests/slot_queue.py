"""Queue of requests that wait for a slot."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen
from gevent import Timeout
from result import Err, Ok, Result

from loomyard.errors import Fault, ResultCode
from loomyard_router.orders.local_backlog import LocalBacklog
from loomyard_router.requests.request import Request
from loomyard_router.shares.waiting import WaitingRequest

if TYPE_CHECKING:
    from loomyard.clock import Clock
    from loomyard.objects import Target
    from loomyard_router.configuration.follower import ConfigFollower
    from loomyard_router.requests.estimates import CostEstimates
    from loomyard_router.shares.admission import Admission
    from loomyard_router.shares.policy import SharePolicy
    from loomyard_router.targets.directory import TargetDirectory

QUEUE_TIMEOUT_RETRY_AFTER = 2.0
STOPPING_RETRY_AFTER = 1.0
NO_TARGET_RETRY_AFTER = 2.0


@frozen(eq=False)
class _QueuedRequest:
    """A queued request and the targets that failed it, which are used only if no other is left."""

    request: Request
    excluded: set[str]


class SlotQueue:
    """Queue requests with the share policy until each has a slot or a fault."""

    def __init__(
        self,
        *,
        clock: Clock,
        follower: ConfigFollower,
        policy: SharePolicy,
        targets: TargetDirectory,
        estimates: CostEstimates,
    ) -> None:
        self._clock = clock
        self._follower = follower
        self._policy = policy
        self._targets = targets
        self._estimates = estimates
        self._waiting: dict[WaitingRequest, _QueuedRequest] = {}
        self._stopping = False
        self._backlog = LocalBacklog(clock)
        targets.subscribe(self._retarget)

    @property
    def stopping(self) -> bool:
        return self._stopping

    @property
    def backlog(self) -> LocalBacklog:
        return self._backlog

    def stop(self) -> None:
        """Refuse all queued and new requests."""
        self._stopping = True
        for waiting in list(self._waiting):
            self._abort(waiting, stopping_fault())

    def acquire(self, request: Request, excluded: set[str]) -> Result[Admission, Fault]:
        """Wait for a slot, at an excluded target only if there is no other.

        Errors: all codes of 2xxx, ``UNKNOWN_SERVICE``, ``NO_ROUTE``, ``NO_TARGET``,
        ``DEADLINE_PASSED``, ``CALLER_GONE``.
        """
        if self._stopping:
            return Err(stopping_fault())
        if self._clock.now() >= request.deadline:
            return Err(deadline_fault())
        targets = self._candidates(request, excluded)
        if targets.is_err():
            return Err(targets.unwrap_err())
        waiting = self._make_waiting(request, targets.unwrap())
        submitted = self._policy.submit(waiting)
        if submitted.is_err():
            return Err(submitted.unwrap_err())
        return self._wait(_QueuedRequest(request, excluded), waiting)

    def _candidates(
        self, request: Request, excluded: set[str]
    ) -> Result[tuple[Target, ...], Fault]:
        service = request.service.metadata.name
        resolved = self._follower.routing.resolve(request.account, service)
        if resolved.is_err():
            return resolved
        may_send = self._targets.may_send
        usable = [t for t in resolved.unwrap() if may_send(t.metadata.name, service)]
        if not usable:
            self._backlog.record_refusal(service)
            fault = Fault(
                code=ResultCode.NO_TARGET,
                detail="no target of the route takes new requests now",
                retry_after=NO_TARGET_RETRY_AFTER,
            )
            return Err(fault)
        untried = [t for t in usable if t.metadata.name not in excluded]
        return Ok(tuple(untried or usable))

    def _make_waiting(self, request: Request, targets: tuple[Target, ...]) -> WaitingRequest:
        return WaitingRequest(
            request_id=request.request_id,
            account=request.account,
            service=request.service,
            targets=targets,
            estimate=self._estimates.estimate(request.account, request.service, request.cost_hint),
            enqueued_at=self._clock.now(),
            deadline=request.deadline,
            prefix=request.prefix,
        )

    def _retarget(self) -> None:
        """Update the targets of queued requests; refuse those that have none left."""
        shared: dict[tuple[str, str], Result[tuple[Target, ...], Fault]] = {}
        for waiting, queued in list(self._waiting.items()):
            if waiting.admitted.ready():
                continue
            key = waiting.account.metadata.name, waiting.service.metadata.name
            found = None if queued.excluded else shared.get(key)
            if found is None:
                found = self._candidates(queued.request, queued.excluded)
            if not queued.excluded:
                shared[key] = found
            match found:
                case Ok(targets):
                    if targets != waiting.targets:
                        waiting.retarget(targets)
                case Err(fault):
                    self._abort(waiting, fault)

    def _wait(self, queued: _QueuedRequest, waiting: WaitingRequest) -> Result[Admission, Fault]:
        def abort() -> None:
            self._abort(waiting, gone_fault())

        service = waiting.service.metadata.name
        self._waiting[waiting] = queued
        self._backlog.add_waiting(service)
        queued.request.presence.subscribe(abort)
        try:
            with Timeout(max(0.0, waiting.deadline - self._clock.now()), False):
                return _result_of(waiting)
            if not self._policy.withdraw(waiting):
                return _result_of(waiting)
        except BaseException:
            self._policy.withdraw(waiting)
            raise
        finally:
            self._waiting.pop(waiting, None)
            self._backlog.remove_waiting(service)
            queued.request.presence.unsubscribe(abort)
        return Err(
            Fault(
                code=ResultCode.QUEUE_TIMEOUT,
                detail="no slot became free before the deadline",
                retry_after=QUEUE_TIMEOUT_RETRY_AFTER,
            )
        )

    def _abort(self, waiting: WaitingRequest, fault: Fault) -> None:
        if not waiting.admitted.ready() and self._policy.withdraw(waiting):
            waiting.admitted.set(fault)


def stopping_fault() -> Fault:
    """Return the fault of a request that arrives or waits while the router stops."""
    return Fault(
        code=ResultCode.STOPPING,
        detail="this router is stopping",
        retry_after=STOPPING_RETRY_AFTER,
    )


def deadline_fault() -> Fault:
    """Return the fault of a request whose deadline has passed."""
    return Fault(code=ResultCode.DEADLINE_PASSED, detail="the deadline has passed")


def gone_fault() -> Fault:
    """Return the fault of a request whose caller has gone."""
    return Fault(code=ResultCode.CALLER_GONE, detail="the caller has gone")


def _result_of(waiting: WaitingRequest) -> Result[Admission, Fault]:
    admitted = waiting.admitted.get()
    return Err(admitted) if isinstance(admitted, Fault) else Ok(admitted)
