"""Tests of the hysteresis on the event-loop lag."""

from __future__ import annotations

import unittest

from loomyard_router.lag.lag_monitor import (
    CHECK_SECONDS,
    MAX_GAP_SECONDS,
    ONSET_SECONDS,
    RECOVERY_SECONDS,
    LagMonitor,
)
from loomyard_standins.fake_clock import FakeClock

THRESHOLD, LAG = 0.08, 0.1


class LagMonitorTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock()
        self.monitor = LagMonitor(self.clock, threshold=THRESHOLD)
        self.changes: list[bool] = []
        self.monitor.subscribe(lambda: self.changes.append(self.monitor.is_lagging))

    def lag_for(self, seconds: float) -> None:
        until = self.clock.now() + seconds
        while self.clock.now() < until:
            self.clock.advance(LAG)
            self.monitor.record(LAG)

    def test_a_lag_that_lasts_counts_and_a_short_one_does_not(self) -> None:
        self.lag_for(ONSET_SECONDS / 2)
        self.monitor.record(0.0)
        self.clock.advance(LAG)
        self.lag_for(ONSET_SECONDS / 2)
        self.assertEqual([], self.changes)
        self.lag_for(ONSET_SECONDS)
        self.assertEqual([True], self.changes)

    def test_one_long_lag_counts_at_once(self) -> None:
        self.monitor.record(2 * ONSET_SECONDS)
        self.assertTrue(self.monitor.is_lagging)

    def test_lags_apart_do_not_add_up(self) -> None:
        for _ in range(5):
            self.monitor.record(LAG)
            self.clock.advance(2 * MAX_GAP_SECONDS)
        self.assertEqual([], self.changes)

    def test_it_ends_some_time_after_the_last_lag(self) -> None:
        self.lag_for(1.0)
        for _ in range(2):
            self.clock.advance(RECOVERY_SECONDS / 2)
            self.lag_for(2 * LAG)
        self.assertEqual([True], self.changes)
        for _ in range(round(RECOVERY_SECONDS / CHECK_SECONDS) + 1):
            self.clock.advance(CHECK_SECONDS)
        self.assertEqual([True, False], self.changes)


if __name__ == "__main__":
    unittest.main()
