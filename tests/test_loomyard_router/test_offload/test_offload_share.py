"""Tests of the share of connections that a lagging router passes on."""

from __future__ import annotations

import random
import unittest

from loomyard_router.offload.offload_share import FALL_SECONDS, RISE_SECONDS, OffloadShare
from loomyard_standins.fake_clock import FakeClock

STEP = 0.01


class OffloadShareTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock()
        self.lagging = True
        self.share = OffloadShare(self.clock, lambda: self.lagging, random.Random(1))

    def draw_for(self, seconds: float) -> float:
        """Draw many times; return the fraction of connections that are passed on."""
        draws = []
        for _ in range(round(seconds / STEP)):
            self.clock.advance(STEP)
            draws.append(self.share.draw())
        return sum(draws) / len(draws)

    def test_a_router_that_does_not_lag_passes_nothing_on(self) -> None:
        self.lagging = False
        self.assertEqual(0.0, self.draw_for(5.0))

    def test_all_are_passed_on_while_the_lag_lasts(self) -> None:
        self.draw_for(2 * RISE_SECONDS)
        self.assertEqual(1.0, self.draw_for(1.0))

    def test_the_share_falls_slowly_once_the_router_has_caught_up(self) -> None:
        self.draw_for(2 * RISE_SECONDS)
        self.lagging = False
        self.assertGreater(self.draw_for(FALL_SECONDS / 4), 0.7)
        self.draw_for(FALL_SECONDS)
        self.assertEqual(0.0, self.draw_for(1.0))

    def test_a_router_that_lags_now_and_then_passes_some_on(self) -> None:
        self.draw_for(2 * RISE_SECONDS)
        passed_on = []
        for number in range(400):
            self.lagging = number % 5 == 0
            passed_on.append(self.draw_for(STEP))
        self.assertTrue(0.3 < sum(passed_on) / len(passed_on) < 1.0)

    def test_a_pause_without_connections_is_no_lag(self) -> None:
        self.share.draw()
        self.clock.advance(60.0)
        self.share.draw()
        self.assertLess(self.share.share, 0.5)


if __name__ == "__main__":
    unittest.main()
