"""Waiting for a slot."""

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
class _Need:
    """A request that waits and the targets that failed it, which others go before."""

    request: Request
    avoided: set[str]


class SlotQueue:
    """Queue requests with the share policy until each has a slot or its final answer."""

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
        self._waiting: dict[WaitingRequest, _Need] = {}
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
        """Refuse all that waits and all that comes."""
        self._stopping = True
        for waiting in list(self._waiting):
            self._give_up(waiting, stopping_fault())

    def take(self, request: Request, avoided: set[str]) -> Result[Admission, Fault]:
        """Wait for a slot, at a target that is not avoided where there is one.

        Errors: all codes of 2xxx, ``UNKNOWN_SERVICE``, ``NO_ROUTE``, ``NO_TARGET``,
        ``DEADLINE_PASSED``, ``CALLER_GONE``.
        """
        if self._stopping:
            return Err(stopping_fault())
        if self._clock.now() >= request.deadline:
            return Err(deadline_fault())
        targets = self._candidates(request, avoided)
        if targets.is_err():
            return Err(targets.unwrap_err())
        waiting = self._make_waiting(request, targets.unwrap())
        submitted = self._policy.submit(waiting)
        if submitted.is_err():
            return Err(submitted.unwrap_err())
        return self._await(_Need(request, avoided), waiting)

    def _candidates(self, request: Request, avoided: set[str]) -> Result[tuple[Target, ...], Fault]:
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
                detail="no target of the route takes new work now",
                retry_after=NO_TARGET_RETRY_AFTER,
            )
            return Err(fault)
        untried = [t for t in usable if t.metadata.name not in avoided]
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
        """Let what waits go to the targets of now; refuse it where there is none."""
        shared: dict[tuple[str, str], Result[tuple[Target, ...], Fault]] = {}
        for waiting, need in list(self._waiting.items()):
            if waiting.admitted.ready():
                continue
            key = waiting.account.metadata.name, waiting.service.metadata.name
            found = None if need.avoided else shared.get(key)
            if found is None:
                found = self._candidates(need.request, need.avoided)
            if not need.avoided:
                shared[key] = found
            match found:
                case Ok(targets):
                    if targets != waiting.targets:
                        waiting.retarget(targets)
                case Err(fault):
                    self._give_up(waiting, fault)

    def _await(self, need: _Need, waiting: WaitingRequest) -> Result[Admission, Fault]:
        def leave() -> None:
            self._give_up(waiting, gone_fault())

        service = waiting.service.metadata.name
        self._waiting[waiting] = need
        self._backlog.add_waiting(service)
        need.request.presence.subscribe(leave)
        try:
            with Timeout(max(0.0, waiting.deadline - self._clock.now()), False):
                return _read(waiting)
            if not self._policy.withdraw(waiting):
                return _read(waiting)
        except BaseException:
            self._policy.withdraw(waiting)
            raise
        finally:
            self._waiting.pop(waiting, None)
            self._backlog.remove_waiting(service)
            need.request.presence.unsubscribe(leave)
        return Err(
            Fault(
                code=ResultCode.QUEUE_TIMEOUT,
                detail="no slot came free before the deadline",
                retry_after=QUEUE_TIMEOUT_RETRY_AFTER,
            )
        )

    def _give_up(self, waiting: WaitingRequest, fault: Fault) -> None:
        if not waiting.admitted.ready() and self._policy.withdraw(waiting):
            waiting.admitted.set(fault)


def stopping_fault() -> Fault:
    """Return the fault of a request that comes while the router stops."""
    return Fault(
        code=ResultCode.STOPPING,
        detail="this router is stopping",
        retry_after=STOPPING_RETRY_AFTER,
    )


def deadline_fault() -> Fault:
    """Return the fault of a request that is too late."""
    return Fault(code=ResultCode.DEADLINE_PASSED, detail="the deadline has passed")


def gone_fault() -> Fault:
    """Return the fault of a request whose caller has gone."""
    return Fault(code=ResultCode.CALLER_GONE, detail="the caller has gone")


def _read(waiting: WaitingRequest) -> Result[Admission, Fault]:
    admitted = waiting.admitted.get()
    return Err(admitted) if isinstance(admitted, Fault) else Ok(admitted)
