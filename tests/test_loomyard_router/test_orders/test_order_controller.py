"""Tests of the order controller, by the orders that the engines received."""

from __future__ import annotations

import unittest

from attrs import evolve

from loomyard.objects import TargetState
from loomyard_router.orders.order_planner import (
    BACKLOG_SECONDS,
    CHANGE_SECONDS,
    DWELL_SECONDS,
    OrderPlanner,
)
from loomyard_router.orders.order_sender import LOAD_SECONDS
from loomyard_router.orders.target_view import TargetView
from loomyard_standins.weight_store import LimitedWeightStore
from test_loomyard_router.test_orders.orders_case import OrdersCase


class PlanTest(OrdersCase):
    def test_idle_target_loads_the_backlogged_service(self) -> None:
        self.run_for(20)
        self.backlog["tagger"] = 5
        self.run_for(BACKLOG_SECONDS + 10)
        self.assertEqual(
            self.received_orders(), [("a", "unload", "assistant"), ("a", "load", "tagger")]
        )
        self.assertEqual(self.loaded()["a"], ["tagger"])
        self.run_for(200)
        self.assertEqual(len(self.received), 2)

    def test_short_backlogs_cause_no_order(self) -> None:
        self.run_for(20)
        for _ in range(10):
            self.backlog["tagger"] = 5
            self.run_for(BACKLOG_SECONDS - 2)
            self.backlog["tagger"] = 0
            self.run_for(2)
        self.assertEqual(self.received, [])

    def test_busy_leaving_or_needed_targets_get_no_order(self) -> None:
        self.engine("a").report = evolve(self.engine("a").report, running=1)
        self.engine("b").report = evolve(self.engine("b").report, leaving=True)
        self.targets["c"] = self.target("c", state=TargetState.LEAVING)
        self.targets["d"] = evolve(self.target("d"), loadable=[])
        for part in (*self.directories, *self.controllers.values()):
            part.reconfigure(self.routing())
        self.backlog["tagger"] = 5
        self.run_for(60)
        self.assertEqual(self.received, [])

    def test_last_target_of_a_service_is_not_changed(self) -> None:
        self.targets = {"a": self.targets["a"]}
        self.controllers = {"k0": self.controller("k0")}
        self.backlog["tagger"] = 5
        self.run_for(60)
        self.assertEqual(self.received, [])

    def test_changed_target_stays_unchanged_for_the_dwell_time(self) -> None:
        self.targets = {name: self.targets[name] for name in "ab"}
        self.controllers = {"k0": self.controller("k0")}
        self.run_for(20)
        self.backlog["tagger"] = 5
        self.run_for(BACKLOG_SECONDS + 10)
        changed_at = self.received[-1][0]
        self.backlog["drafts"] = 5
        self.engine("b").orders.models.append("tagger")
        self.engine("b").report = evolve(self.engine("b").report, running=1)
        self.run_for(2 * DWELL_SECONDS)
        later = [at for at, _, order in self.received if order.subject == "drafts"]
        self.assertEqual(self.loaded()["a"], ["drafts"])
        self.assertGreaterEqual(min(later) - changed_at, DWELL_SECONDS)

    def test_load_that_never_completes_is_abandoned(self) -> None:
        self.run_for(20)
        self.engine("a").orders.models = []
        self.engine("a").stuck = True
        self.backlog["tagger"] = 5
        reserve, reserved = self.weights.reserve, []

        def count(model: str):
            reserved.append(model)
            return reserve(model)

        self.weights.reserve = count
        self.run_for(BACKLOG_SECONDS + CHANGE_SECONDS + 30)
        loads = [at for at, url, order in self.received if url.endswith("a")]
        self.assertGreaterEqual(len(reserved), len(loads))
        self.assertGreaterEqual(loads[1] - loads[0], LOAD_SECONDS)
        self.assertIn(["tagger"], self.loaded().values())

    def test_loads_respect_the_limit_of_the_weight_store(self) -> None:
        self.weights = LimitedWeightStore(self.clock, interval=40.0)
        self.controllers = {name: self.controller(name) for name in ("k0", "k1")}
        self.run_for(20)
        self.backlog.update(tagger=5, drafts=4)
        self.run_for(120)
        loads = [at for at, _, order in self.received if order.action == "load"]
        unloads = [at for at, _, order in self.received if order.action == "unload"]
        self.assertGreaterEqual(len(loads), 2)
        self.assertLess(max(b - a for a, b in zip(unloads, loads, strict=True)), 5.0)
        self.assertGreaterEqual(loads[1] - loads[0], 40.0)


class PlannerTest(OrdersCase):
    def test_only_a_lasting_backlog_causes_a_change(self) -> None:
        planner = OrderPlanner(self.clock, lambda name, service: True)
        views = [
            TargetView(
                target=self.targets["a"],
                report=self.engines.load("http://a").unwrap(),
                usable=True,
            )
        ]
        for second in range(60):
            planner.plan({"tagger": second % 9}, views, ["b"])
            self.assertEqual(planner.desired, {})
            self.clock.advance(1.0)
        for _ in range(int(BACKLOG_SECONDS) + 1):
            planner.plan({"tagger": 1}, views, ["b"])
            self.clock.advance(1.0)
        self.assertEqual(planner.desired, {"a": "tagger"})


if __name__ == "__main__":
    unittest.main()
