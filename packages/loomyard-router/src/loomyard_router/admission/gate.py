"""Give places at targets to requests, the client account that got least first."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from gevent import Timeout
from result import Err, Ok, Result

from loomyard.errors import Fault, ResultCode
from loomyard_router.admission.slot_permit import SlotPermit
from loomyard_router.admission.waiter import Waiter
from loomyard_router.admission.waiting_time import wait_until

if TYPE_CHECKING:
    from loomyard.clock import Clock
    from loomyard_router.admission.account_usage import AccountUsage
    from loomyard_router.admission.ejection_tracker import EjectionTracker
    from loomyard_router.admission.target_choice import TargetChoice
    from loomyard_router.admission.target_loads import TargetLoads
    from loomyard_router.admission.waiting_time import RetryHint
    from loomyard_router.announced.announced_target import AnnouncedTarget
    from loomyard_router.announced.cold_targets import ColdTargets
    from loomyard_router.announced.target_incarnation import TargetIncarnation
    from loomyard_router.announced.target_registry import TargetRegistry
    from loomyard_router.routed.routed_request import RoutedRequest


class Gate:
    """Queue requests for each service; what finds no place soon is refused, to come back later."""

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
        self, request: RoutedRequest, avoided: frozenset[TargetIncarnation]
    ) -> Result[SlotPermit, Fault]:
        """Wait for a place, at a target that is not avoided.

        Errors: ``NO_TARGET``, ``QUEUE_TIMEOUT``, ``CALLER_GONE``; nothing ran.
        """
        if not self._candidates(request, avoided):
            return Err(
                self._hint.make_refusal(
                    ResultCode.NO_TARGET, "no target of the service takes new work"
                )
            )
        waiter = Waiter(request, avoided)
        if not self._queues.get(request.service):
            place = self._place(waiter)
            if place is not None:
                return Ok(place)
        return self._wait(waiter)

    def _wait(self, waiter: Waiter) -> Result[SlotPermit, Fault]:
        request = waiter.request
        queue = self._queues.setdefault(request.service, {})
        queue.setdefault(request.account_name, deque()).append(waiter)
        self._dispatch(request.service)

        def leave() -> None:
            if not waiter.placed.ready():
                waiter.placed.set(None)

        request.presence.subscribe(leave)
        until = wait_until(request)
        place = None
        try:
            with Timeout(max(0.0, until - self._clock.now()), False):
                place = waiter.placed.get()
        finally:
            request.presence.unsubscribe(leave)
            self._withdraw(waiter)
            if place is None and waiter.placed.ready():
                place = waiter.placed.get_nowait()
        if place is not None:
            return Ok(place)
        if request.presence.gone:
            return Err(Fault(code=ResultCode.CALLER_GONE, detail="the caller left"))
        return Err(
            self._hint.make_refusal(ResultCode.QUEUE_TIMEOUT, "no place came free soon enough")
        )

    def _withdraw(self, waiter: Waiter) -> None:
        queue = self._queues.get(waiter.request.service, {})
        waiting = queue.get(waiter.request.account_name)
        if waiting and waiter in waiting:
            waiting.remove(waiter)
            if not waiting:
                del queue[waiter.request.account_name]

    def _candidates(
        self, request: RoutedRequest, avoided: frozenset[TargetIncarnation]
    ) -> list[AnnouncedTarget]:
        usable = [
            one
            for one in self._registry.usable(request.service)
            if one.incarnation not in avoided and not self._cold.rate_limit(one)
        ]
        return self._health.healthy(usable) if usable else []

    def _place(self, waiter: Waiter) -> SlotPermit | None:
        request = waiter.request
        candidates = self._candidates(request, waiter.avoided)
        target = self._choice.choose(request.affinity_key, candidates, request.head.attempt_id)
        if target is None:
            return None
        self._loads.record_start(target)
        self._usage.add(request.account_name, request.cost)

        def released() -> None:
            self._loads.record_end(target)
            self._dispatch(target.service)

        def unused() -> None:
            self._usage.add(request.account_name, -request.cost)

        return SlotPermit(target, released, unused=unused)

    def _dispatch_all(self) -> None:
        for service in list(self._queues):
            self._dispatch(service)

    def _dispatch(self, service: str) -> None:
        """Give free places to what waits, the neediest account first."""
        queue = self._queues.get(service)
        if not queue:
            return
        while queue and self._serve_neediest(queue):
            pass

    def _serve_neediest(self, queue: dict[str, deque[Waiter]]) -> bool:
        """Give one place away; false where none can be given."""
        for account in sorted(queue, key=self._usage.level):
            waiting = queue[account]
            place = self._place(waiting[0])
            if place is not None:
                waiter = waiting.popleft()
                if not waiting:
                    del queue[account]
                waiter.placed.set(place)
                return True
            if not waiting[0].avoided:
                # No target has a place, so nobody else's request finds one either.
                return False
        return False
