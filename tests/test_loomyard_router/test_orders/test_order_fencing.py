"""Tests of the fencing of orders, by the orders that the engines received."""

from __future__ import annotations

import unittest
from collections import Counter
from typing import TYPE_CHECKING

from attrs import evolve

from loomyard_router.members.membership import Member
from loomyard_router.orders.order_lease_manager import TAKEOVER_AFTER, TERM, OrderLeaseManager
from loomyard_router.orders.order_planner import (
    BACKLOG_SECONDS,
)
from loomyard_router.orders.order_sender import ORDER_SECONDS, OrderSender
from loomyard_router.orders.target_view import TargetView
from test_loomyard_router.test_orders.orders_case import OrdersCase

if TYPE_CHECKING:
    from loomyard.external.engine import EngineOrder


class FencingTest(OrdersCase):
    """Two order controllers; the engines check the fencing number."""

    def setUp(self) -> None:
        super().setUp()
        self.run_for(20)
        self.backlog["tagger"] = 5
        self.run_for(BACKLOG_SECONDS - 2)

    def numbers(self) -> list[int]:
        return [order.fencing for name in "abc" for order in self.engine(name).orders.applied]

    def assert_numbers_ascend(self) -> None:
        for name in "abc":
            taken = [order.fencing for order in self.engine(name).orders.applied]
            self.assertEqual(taken, sorted(taken))

    def pause_in_reserve(self, seconds: float) -> None:
        """Pause the first controller in its call to the weight store while the second runs on."""
        reserve = self.weights.reserve

        def pause(model: str):
            self.weights.reserve = reserve
            answer = reserve(model)
            self.run_for(seconds, "k1")
            self.woke_at = self.clock.now()
            return answer

        self.weights.reserve = pause

    def test_controller_that_lost_the_lease_during_a_pause_sends_nothing(self) -> None:
        first = self.controllers["k0"].lease.held().fencing
        self.pause_in_reserve(2 * TAKEOVER_AFTER)
        self.run_for(60)
        since = [order.fencing for at, _, order in self.received if at >= self.woke_at]
        self.assertNotIn(first, since)
        self.assertGreater(self.controllers["k1"].lease.held().fencing, first)
        self.assert_numbers_ascend()
        self.assertIn(["tagger"], self.loaded().values())

    def test_expired_lease_without_a_successor_stops_orders(self) -> None:
        reserve = self.weights.reserve

        def pause(model: str):
            self.clock.advance(TERM)
            woke.append(self.clock.now())
            return reserve(model)

        woke: list[float] = []
        self.weights.reserve = pause
        self.run_for(10, "k0")
        self.assertTrue(woke)
        self.assertFalse({at for at, _, _ in self.received}.intersection(woke))

    def test_order_that_arrives_after_those_of_a_successor(self) -> None:
        def overtake(url: str, order: EngineOrder) -> None:
            self.engines.before_order = self.record_order
            self.run_for(3 * TAKEOVER_AFTER, "k1")
            self.record_order(url, order)

        self.engines.before_order = overtake
        self.run_for(5, "k0")
        self.run_for(120)
        self.assertIn(["tagger"], self.loaded().values())
        self.assert_overtaken()

    def assert_overtaken(self) -> None:
        refused = [order for name in "abc" for order in self.engine(name).orders.refused]
        self.assertEqual(len(refused), 1)
        self.assert_numbers_ascend()

    def test_no_order_or_poll_while_the_log_is_down(self) -> None:
        self.backlog.clear()
        self.log.down = True
        self.run_for(TERM)
        self.backlog["tagger"] = 5
        before = len(self.received), self.engine("a").polls
        self.run_for(60)
        self.assertEqual((len(self.received), self.engine("a").polls), before)
        self.log.down = False
        self.run_for(60)
        self.assertIn(["tagger"], self.loaded().values())

    def test_order_with_a_lost_answer_is_not_repeated(self) -> None:
        for name in "abc":
            self.engine(name).lose_answers = 1
        self.run_for(60)
        self.assertEqual(Counter(self.received_orders()).most_common(1)[0][1], 1)
        self.assertIn(["tagger"], self.loaded().values())


class UncheckedTest(FencingTest):
    """The same with engines that ignore the fencing number."""

    checks_fencing = False

    def assert_overtaken(self) -> None:
        # An order in transit for longer than its lease can't be stopped; the successor reads the
        # resulting state back and corrects it.
        self.assertIn(["assistant"], self.loaded().values())


class SuccessorTest(OrdersCase):
    def test_waits_for_orders_in_transit_to_engines_that_ignore_fencing(self) -> None:
        manager = OrderLeaseManager(
            self.clock, self.log, Member(name="k", incarnation=1, address="", data_centre="")
        )
        sender = OrderSender(self.clock, self.engines, self.weights, manager)
        self.clock.advance(TAKEOVER_AFTER)
        manager.step(candidate=True)
        acquired_at = self.clock.now()
        views = [
            TargetView(
                target=evolve(self.targets[name], checks_fencing=checks),
                report=self.engines.load(f"http://{name}").unwrap(),
                usable=True,
            )
            for name, checks in (("a", True), ("b", False))
        ]
        for _ in range(8):
            for view in views:
                sender.advance(view, "tagger")
            self.clock.advance(1.0)
        first = {name: min(at for at, url, _ in self.received if url[-1] == name) for name in "ab"}
        self.assertEqual(first["a"], acquired_at)
        self.assertGreaterEqual(first["b"] - acquired_at, ORDER_SECONDS)


if __name__ == "__main__":
    unittest.main()
