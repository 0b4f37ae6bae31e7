"""Test case with three engines, two order controllers and an order log."""

from __future__ import annotations

import unittest
from collections import Counter
from typing import TYPE_CHECKING

from loomyard.configuration import Change, ConfigState, Put, fold
from loomyard.objects import Metadata, Service, Target
from loomyard.routing import Routing
from loomyard_router.members.membership import Member, SoleMembership
from loomyard_router.orders.order_controller import OrderController, make_order_controller
from loomyard_router.targets.directory import TargetDirectory, make_configured_targets
from loomyard_standins.fake_clock import FakeClock
from loomyard_standins.log_service import MemoryLog
from loomyard_standins.memory_engines import MemoryEngine, MemoryEngines
from loomyard_standins.weight_store import LimitedWeightStore

if TYPE_CHECKING:
    from loomyard.external.engine import EngineOrder


class Backlog(Counter):
    """Waiting requests by service, none once an engine has loaded the service."""

    def __init__(self, engines: MemoryEngines) -> None:
        super().__init__()
        self.engines = engines

    def waiting(self, service: str) -> int:
        loaded = [engine.orders.models for engine in self.engines.engines.values()]
        return 0 if any(service in models for models in loaded) else self[service]


class OrdersCase(unittest.TestCase):
    checks_fencing = True

    def setUp(self) -> None:
        self.clock = FakeClock()
        self.log = MemoryLog()
        self.engines = MemoryEngines()
        self.backlog = Backlog(self.engines)
        self.weights = LimitedWeightStore(self.clock, interval=1.0)
        self.received: list[tuple[float, str, EngineOrder]] = []
        self.engines.before_order = self.record_order
        self.directories: list[TargetDirectory] = []
        self.targets = {name: self.target(name) for name in "abc"}
        for name in "abc":
            self.engines.add(f"http://{name}", "assistant", checks_fencing=self.checks_fencing)
        self.controllers = {name: self.controller(name) for name in ("k0", "k1")}

    def target(self, name: str, **fields: object) -> Target:
        return Target(
            metadata=Metadata(name=name),
            url=f"http://{name}",
            services=["assistant"],
            loadable=["tagger", "drafts"],
            checks_fencing=self.checks_fencing,
            **fields,
        )

    def controller(self, name: str) -> OrderController:
        own = Member(name=name, incarnation=1, address="", data_centre="")
        directory = make_configured_targets()
        self.directories.append(directory)
        controller = make_order_controller(
            clock=self.clock,
            log=self.log,
            engine=self.engines,
            members=SoleMembership(own),
            targets=directory,
            weights=self.weights,
            backlog=self.backlog,
        )
        for part in (directory, controller):
            part.reconfigure(self.routing())
        return controller

    def routing(self) -> Routing:
        services = [Service(metadata=Metadata(name=n)) for n in ("assistant", "tagger", "drafts")]
        puts = [Put(object=o) for o in [*services, *self.targets.values()]]
        return Routing(fold(ConfigState(), 0, Change(change_id="c", puts=puts))[0])

    def record_order(self, url: str, order: EngineOrder) -> None:
        self.received.append((self.clock.now(), url, order))

    def run_for(self, seconds: float, *names: str) -> None:
        for _ in range(int(seconds)):
            self.clock.advance(1.0)
            for name in names or self.controllers:
                self.controllers[name].step()

    def engine(self, name: str) -> MemoryEngine:
        return self.engines.engines[f"http://{name}"]

    def loaded(self) -> dict[str, list[str]]:
        return {name: self.engine(name).orders.models for name in "abc"}

    def received_orders(self) -> list[tuple[str, str, str]]:
        return [(url[-1], order.action, order.subject) for _, url, order in self.received]
