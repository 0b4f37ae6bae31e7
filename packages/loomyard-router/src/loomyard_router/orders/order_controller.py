"""Control loop that orders idle targets to load the services with a backlog."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from result import Ok

from loomyard.objects import Target, TargetState
from loomyard_router.orders.fixed_rate_weight_store import FixedRateWeightStore
from loomyard_router.orders.order_lease_manager import OrderLeaseManager
from loomyard_router.orders.order_planner import OrderPlanner
from loomyard_router.orders.order_sender import OrderSender
from loomyard_router.orders.target_view import TargetView
from loomyard_router.shares.allocator_selection import find_allocator
from loomyard_router.supervision.guard import call_guarded
from loomyard_router.supervision.tasks import start_supervised

if TYPE_CHECKING:
    import gevent

    from loomyard.clock import Clock
    from loomyard.external.engine import Engine
    from loomyard.external.log_service import LogService
    from loomyard.external.weight_store import WeightStore
    from loomyard.routing import Routing
    from loomyard_router.members.membership import Membership
    from loomyard_router.orders.backlog import BacklogView
    from loomyard_router.targets.directory import TargetDirectory

logger = logging.getLogger(__name__)

STEP_SECONDS = 1.0
# Maximum number of targets whose load report is read in one step.
MAX_OBSERVED = 16


class OrderController:
    """Hold the order lease if this router is the allocator, and send orders under it."""

    def __init__(
        self,
        *,
        clock: Clock,
        log: LogService,
        engine: Engine,
        members: Membership,
        targets: TargetDirectory,
        weights: WeightStore,
        backlog: BacklogView,
    ) -> None:
        self._clock = clock
        self._engine = engine
        self._members = members
        self._targets = targets
        self._backlog = backlog
        self._all_targets: list[Target] = []
        self._loadable_targets: list[Target] = []
        self._lease = OrderLeaseManager(clock, log, members.own)
        self._planner = OrderPlanner(clock, targets.may_send)
        self._sender = OrderSender(clock, engine, weights, self._lease)
        self._task: gevent.Greenlet | None = None

    @property
    def lease(self) -> OrderLeaseManager:
        return self._lease

    def reconfigure(self, routing: Routing) -> None:
        """Apply a configuration."""
        self._all_targets = list(routing.targets.values())
        self._loadable_targets = [target for target in self._all_targets if target.loadable]

    def start(self) -> None:
        """Start the control loop."""
        self._task = start_supervised("orders", self._clock, self._run)

    def stop(self) -> None:
        """Stop the control loop; the lease expires."""
        if self._task is not None:
            self._task.kill()

    def step(self) -> None:
        """Acquire or renew the lease; while it is held, plan changes and send due orders."""
        if not self._loadable_targets:
            return
        self._lease.step(candidate=self._is_candidate())
        if self._lease.held() is None:
            self._planner.clear()
            self._sender.clear()
            return
        waiting = self._waiting()
        if not any(waiting.values()) and not self._planner.desired:
            self._planner.plan(waiting, [])
            return
        views = self._observe(waiting)
        observed = {view.target.metadata.name for view in views}
        unobserved = [t.metadata.name for t in self._all_targets if t.metadata.name not in observed]
        self._planner.plan(waiting, views, unobserved)
        for view in views:
            name = view.target.metadata.name
            service = self._planner.desired.get(name)
            if service is not None and self._sender.advance(view, service):
                self._planner.finish(name)

    def _run(self) -> None:
        while True:
            call_guarded("orders", self.step)
            self._clock.sleep(STEP_SECONDS)

    def _is_candidate(self) -> bool:
        # The allocator of slots also sends the orders, since it sees the backlog of the fleet.
        return self._members.own.name == find_allocator(self._members)

    def _waiting(self) -> dict[str, int]:
        services = {
            s for target in self._loadable_targets for s in (*target.services, *target.loadable)
        }
        return {service: self._backlog.waiting(service) for service in services}

    def _observe(self, waiting: dict[str, int]) -> list[TargetView]:
        """Read the reports of targets that are changing, then of those that could help."""
        backlogged = {service for service, count in waiting.items() if count > 0}
        candidates = [
            t for t in self._loadable_targets if backlogged.intersection((*t.services, *t.loadable))
        ]
        desired = self._planner.desired
        candidates += [
            t for t in self._loadable_targets if t.metadata.name in desired and t not in candidates
        ]
        candidates.sort(key=lambda t: (t.metadata.name not in desired, t.metadata.name))
        views = [self._view(target) for target in candidates[:MAX_OBSERVED]]
        return [view for view in views if view is not None]

    def _view(self, target: Target) -> TargetView | None:
        match self._engine.load(target.url):
            case Ok(report):
                usable = (
                    target.state is TargetState.ACTIVE
                    and not report.leaving
                    and self._targets.may_send(target.metadata.name)
                )
                return TargetView(target=target, report=report, usable=usable)
        return None


def make_order_controller(
    *,
    clock: Clock,
    log: LogService,
    engine: Engine,
    members: Membership,
    targets: TargetDirectory,
    weights: WeightStore | None,
    backlog: BacklogView,
) -> OrderController:
    """Return the order controller; without a weight store, loads are limited to a fixed rate."""
    return OrderController(
        clock=clock,
        log=log,
        engine=engine,
        members=members,
        targets=targets,
        weights=weights or FixedRateWeightStore(clock),
        backlog=backlog,
    )
