"""Tests of fair shares of a rate."""

from __future__ import annotations

import unittest

from loomyard_router.admission.fair_share import find_water_level
from loomyard_router.admission.share_judge import ShareJudge
from loomyard_standins.fake_clock import FakeClock


class TestWaterLevel(unittest.TestCase):
    def test_who_wants_less_gets_all_and_the_others_the_same(self) -> None:
        self.assertEqual(40.0, find_water_level({"a": 20.0, "b": 90.0, "c": 500.0}, 100.0))

    def test_enough_for_all(self) -> None:
        self.assertEqual(100.0, find_water_level({"a": 20.0, "b": 30.0}, 100.0))

    def test_nobody(self) -> None:
        self.assertEqual(100.0, find_water_level({}, 100.0))


class TestShareJudge(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock()
        self.rate = 100.0
        self.judge = ShareJudge(self.clock, window=4.0, rate=lambda: self.rate)

    def use(self, account: str, cost: float) -> None:
        self.judge.ask(account, cost)
        self.judge.give(account, cost)

    def test_who_had_its_share_is_beyond_until_the_window_has_passed(self) -> None:
        self.use("large", 300.0)
        self.use("small", 50.0)
        self.judge.ask("large", 900.0)
        self.assertFalse(self.judge.beyond("large"))
        self.use("large", 100.0)
        self.clock.advance(0.2)
        self.assertTrue(self.judge.beyond("large"))
        self.assertFalse(self.judge.beyond("small"))
        self.clock.advance(8.0)
        self.assertFalse(self.judge.beyond("large"))

    def test_without_a_stated_rate_nobody_is_beyond(self) -> None:
        self.rate = 0.0
        self.use("large", 1e9)
        self.assertFalse(self.judge.beyond("large"))

    def test_a_demand_that_can_be_met_is_within(self) -> None:
        self.use("large", 390.0)
        self.assertFalse(self.judge.beyond("large"))


if __name__ == "__main__":
    unittest.main()
