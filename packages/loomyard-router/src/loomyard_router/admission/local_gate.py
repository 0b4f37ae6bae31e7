"""Admission gate that counts only the requests of this router, for plain services."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from gevent import Timeout
from result import Err, Ok, Result

from loomyard.errors import Fault, ResultCode
from loomyard_router.admission.slot_permit import SlotPermit
from loomyard_router.admission.waiter import Waiter
from loomyard_router.admission.waiting_time import find_wait_deadline

if TYPE_CHECKING:
    from loomyard.clock import Clock
    from loomyard_router.admission.account_usage import AccountUsage
    from loomyard_router.admission.ejection_tracker import EjectionTracker
    from loomyard_router.admission.target_choice import TargetChoice
    from loomyard_router.admission.target_loads import TargetLoads
    from loomyard_router.admission.waiting_time import RetryHint
    from loomyard_router.announced.announced_target import AnnouncedTarget
    from loomyard_router.announced.cold_targets import ColdTargets
    from loomyard_router.announced.target_incarnation import TargetLife
    from loomyard_router.announced.target_registry import TargetRegistry
    from loomyard_router.routed.routed_request import RoutedRequest


class LocalGate:
    """Queue requests by service and serve the account with the least usage first.

    A request that gets no slot in time is refused with a hint when to retry.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        registry: TargetRegistry,
        loads: TargetLoads,
        health: EjectionTracker,
        choice: TargetChoice,
        usage: AccountUsage,
        hint: RetryHint,
        cold: ColdTargets,
    ) -> None:
        self._clock = clock
        self._registry = registry
        self._loads = loads
        self._health = health
        self._choice = choice
        self._usage = usage
        self._hint = hint
        self._cold = cold
        self._queues: dict[str, dict[str, deque[Waiter]]] = {}
        registry.subscribe(self._dispatch_all)

    def acquire(
        self, request: RoutedRequest, excluded: frozenset[TargetLife]
    ) -> Result[SlotPermit, Fault]:
        """Wait for a slot at a target that is not excluded.

        Errors: ``NO_TARGET``, ``QUEUE_TIMEOUT``, ``CALLER_GONE``; nothing ran.
        """
        if not self._candidates(request, excluded):
            return Err(self._hint.make_refusal(ResultCode.NO_TARGET, request.lack_of_targets))
        waiter = Waiter(request, excluded)
        if not self._queues.get(request.service):
            permit = self._try_acquire(waiter)
            if permit is not None:
                return Ok(permit)
        return self._wait(waiter)

    def _wait(self, waiter: Waiter) -> Result[SlotPermit, Fault]:
        request = waiter.request
        queue = self._queues.setdefault(request.service, {})
        queue.setdefault(request.account_name, deque()).append(waiter)
        self._dispatch(request.service)

        def leave() -> None:
            if not waiter.permit.ready():
                waiter.permit.set(None)

        request.presence.subscribe(leave)
        until = find_wait_deadline(request)
        permit = None
        try:
            with Timeout(max(0.0, until - self._clock.now()), False):
                permit = waiter.permit.get()
        finally:
            request.presence.unsubscribe(leave)
            self._withdraw(waiter)
            if permit is None and waiter.permit.ready():
                permit = waiter.permit.get_nowait()
        if permit is not None:
            return Ok(permit)
        if request.presence.gone:
            return Err(Fault(code=ResultCode.CALLER_GONE, detail="the caller left"))
        return Err(self._hint.make_refusal(ResultCode.QUEUE_TIMEOUT, "no slot became free in time"))

    def _withdraw(self, waiter: Waiter) -> None:
        queue = self._queues.get(waiter.request.service, {})
        waiting = queue.get(waiter.request.account_name)
        if waiting and waiter in waiting:
            waiting.remove(waiter)
            if not waiting:
                del queue[waiter.request.account_name]

    def _candidates(
        self, request: RoutedRequest, excluded: frozenset[TargetLife]
    ) -> list[AnnouncedTarget]:
        usable = [
            one
            for one in self._registry.usable(request.service)
            if one.incarnation not in excluded
            and request.may_run_at(one)
            and not self._cold.rate_limit(one)
        ]
        return self._health.healthy(usable) if usable else []

    def _try_acquire(self, waiter: Waiter) -> SlotPermit | None:
        request = waiter.request
        candidates = self._candidates(request, waiter.excluded)
        target = self._choice.choose(request.affinity_key, candidates, request.head.attempt_id)
        if target is None:
            return None
        self._loads.record_start(target)
        self._usage.add(request.account_name, request.cost)

        def on_release() -> None:
            self._loads.record_end(target)
            self._dispatch(target.service)

        def on_unused() -> None:
            self._usage.add(request.account_name, -request.cost)

        return SlotPermit(target, on_release, on_unused=on_unused)

    def _dispatch_all(self) -> None:
        for service in list(self._queues):
            self._dispatch(service)

    def _dispatch(self, service: str) -> None:
        """Give free slots to waiting requests, those of the account with the least usage first."""
        queue = self._queues.get(service)
        if not queue:
            return
        while queue and self._serve_next(queue):
            pass

    def _serve_next(self, queue: dict[str, deque[Waiter]]) -> bool:
        """Give one slot to a waiting request; false where none can be given."""
        for account in sorted(queue, key=self._usage.tokens):
            waiting = queue[account]
            permit = self._try_acquire(waiting[0])
            if permit is not None:
                waiter = waiting.popleft()
                if not waiting:
                    del queue[account]
                waiter.permit.set(permit)
                return True
            if not waiting[0].excluded:
                # No target has a free slot, so the requests of other accounts get none either.
                return False
        return False
