"""Tests of the slot estimate with simulated engines of unknown limit."""

from __future__ import annotations

import unittest
from collections import deque

from loomyard.external.engine import LoadReport
from loomyard_router.targets.slot_estimate import MAX_GROWTH, SlotEstimate, queue_allowance


class Engine:
    """A saturated engine: the fleet always has as many requests there as it has slots."""

    def __init__(self, limit: int, *, lag: int, slowing: float = 0.0, travelling: int = 0) -> None:
        self.limit = limit
        self._travelling = travelling
        self._slowing = slowing
        self._reports: deque[LoadReport] = deque(maxlen=lag + 1)

    def report(self, in_flight: int) -> LoadReport:
        """Return the report of ``lag`` polls ago."""
        in_flight -= self._travelling
        running = min(in_flight, self.limit)
        step = 0.003 * (1 + self._slowing * running)
        waiting = in_flight - running
        self._reports.append(LoadReport(running=running, waiting=waiting, step_seconds=step))
        return self._reports[0]


def follow(estimate: SlotEstimate, engine: Engine, polls: int, start: int = 0) -> list[int]:
    """Return the slots after each poll, with one poll per second."""
    history = []
    for now in range(start, start + polls):
        estimate.observe(engine.report(estimate.slots), float(now))
        history.append(estimate.slots)
    return history


class SlotEstimateTest(unittest.TestCase):
    def test_the_estimate_settles_at_the_limit(self) -> None:
        for limit in (3, 8, 20, 31):
            for lag in (0, 1, 3, 5):
                with self.subTest(limit=limit, lag=lag):
                    history = follow(SlotEstimate(8), Engine(limit, lag=lag), 600)
                    settled = history[120:]
                    near = [limit <= slots <= limit + queue_allowance(limit) for slots in settled]
                    self.assertGreater(sum(near) / len(near), 0.9)
                    self.assertGreaterEqual(min(settled), limit)
                    self.assertLessEqual(max(settled), 1.5 * limit + 2)

    def test_growth_beyond_the_limit_is_tried_ever_less_often(self) -> None:
        history = follow(SlotEstimate(16), Engine(16, lag=2, travelling=1), 1800)
        grown = sum(after > before for before, after in zip(history, history[1:], strict=False))
        self.assertIn(grown, range(2, 8))

    def test_follows_a_limit_that_falls_and_rises(self) -> None:
        estimate, engine = SlotEstimate(16), Engine(30, lag=3)
        follow(estimate, engine, 100)
        engine.limit = 10
        self.assertLessEqual(max(follow(estimate, engine, 100, 100)[20:]), 16)
        engine.limit = 30
        self.assertGreaterEqual(follow(estimate, engine, 1200, 200)[-1], 30)

    def test_idle_reports_and_short_bursts_change_nothing(self) -> None:
        estimate = SlotEstimate(8)
        for now in range(100):
            burst = now % 10 == 0
            report = LoadReport(running=2, waiting=6 if burst else 0, step_seconds=0.003)
            estimate.observe(report, float(now))
        self.assertEqual(estimate.slots, 8)

    def test_growth_stops_where_an_engine_only_slows_down(self) -> None:
        engine = Engine(10_000, lag=2, slowing=1.0)
        history = follow(SlotEstimate(8), engine, 600)
        self.assertLessEqual(sum(slots > 10 for slots in history), 60)

    def test_growth_is_bounded_by_a_multiple_of_the_configured_slots(self) -> None:
        history = follow(SlotEstimate(8), Engine(10_000, lag=0), 300)
        self.assertEqual(history[-1], 8 * MAX_GROWTH)


if __name__ == "__main__":
    unittest.main()
