"""The keeper of orders: watch backlog and idle targets, order what helps."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import gevent
from result import Ok

from loomyard.events import Event, emit
from loomyard.objects import Target, TargetState
from loomyard_router.orders.order_lease_manager import OrderLeaseManager
from loomyard_router.orders.order_planner import OrderPlanner
from loomyard_router.orders.order_sender import OrderSender
from loomyard_router.orders.paced_weights import PacedWeights
from loomyard_router.orders.target_view import TargetView
from loomyard_router.shares.allocator_selection import find_allocator

if TYPE_CHECKING:
    from loomyard.clock import Clock
    from loomyard.outside.engine import Engine
    from loomyard.outside.log_service import LogService
    from loomyard.outside.weight_store import WeightStore
    from loomyard.routing import Routing
    from loomyard_router.members.membership import Membership
    from loomyard_router.orders.backlog import BacklogView
    from loomyard_router.targets.directory import TargetDirectory

logger = logging.getLogger(__name__)

STEP_SECONDS = 1.0
# Bounds what the keeper reads of targets in one step.
MAX_OBSERVED = 16


class OrderController:
    """Hold the lease on orders where this router may, and order under it."""

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
        self._all: list[Target] = []
        self._ordered: list[Target] = []
        self._lease = OrderLeaseManager(clock, log, members.own)
        self._planner = OrderPlanner(clock, targets.may_send)
        self._sender = OrderSender(clock, engine, weights, self._lease)
        self._task: gevent.Greenlet | None = None

    @property
    def lease(self) -> OrderLeaseManager:
        return self._lease

    def reconfigure(self, routing: Routing) -> None:
        """Take over a configuration."""
        self._all = list(routing.targets.values())
        self._ordered = [target for target in self._all if target.loadable]

    def start(self) -> None:
        """Start the task."""
        self._task = gevent.spawn(self._run)

    def stop(self) -> None:
        """End the task; the lease lapses."""
        if self._task is not None:
            self._task.kill()

    def step(self) -> None:
        """Keep the lease; under it plan and send what is due."""
        if not self._ordered:
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
        read = {view.target.metadata.name for view in views}
        unread = [t.metadata.name for t in self._all if t.metadata.name not in read]
        self._planner.plan(waiting, views, unread)
        for view in views:
            name = view.target.metadata.name
            service = self._planner.desired.get(name)
            if service is not None and self._sender.work(view, service):
                self._planner.finish(name)

    def _run(self) -> None:
        while True:
            try:
                self.step()
            except Exception:
                logger.exception("a step of the keeper of orders failed")
                emit(logger, Event.HANDLER_FAILED, part="orders")
            self._clock.sleep(STEP_SECONDS)

    def _is_candidate(self) -> bool:
        # The allocator of slots keeps the orders too: it sees what waits in the whole fleet.
        return self._members.own.name == find_allocator(self._members)

    def _waiting(self) -> dict[str, int]:
        services = {s for target in self._ordered for s in (*target.services, *target.loadable)}
        return {service: self._backlog.waiting(service) for service in services}

    def _observe(self, waiting: dict[str, int]) -> list[TargetView]:
        """Read the targets under change back first, then those that might help."""
        wanted = {service for service, count in waiting.items() if count > 0}
        able = [t for t in self._ordered if wanted.intersection((*t.services, *t.loadable))]
        desired = self._planner.desired
        able += [t for t in self._ordered if t.metadata.name in desired and t not in able]
        able.sort(key=lambda t: (t.metadata.name not in desired, t.metadata.name))
        views = [self._view(target) for target in able[:MAX_OBSERVED]]
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
    """Make the keeper of orders of a router; without a weight store loads are paced here."""
    return OrderController(
        clock=clock,
        log=log,
        engine=engine,
        members=members,
        targets=targets,
        weights=weights or PacedWeights(clock),
        backlog=backlog,
    )
