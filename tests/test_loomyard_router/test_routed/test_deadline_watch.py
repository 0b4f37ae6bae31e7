"""Tests of the enforcement of deadlines and of the coalescing of events."""

from __future__ import annotations

import unittest

import gevent
from attrs import define, field

from loomyard_router.routed.deadline_watch import CHECK_SECONDS, DeadlineWatch
from loomyard_router.routed.event_coalescer import (
    DELAY_FRACTION,
    LAG_THRESHOLD_SECONDS,
    EventCoalescer,
)
from loomyard_standins.stepped_clock import SteppedClock


@define(eq=False)
class Exchange:
    """Exchange that records when it expired."""

    clock: SteppedClock
    ended_at: list[float] = field(factory=list)

    def expire(self) -> None:
        self.ended_at.append(self.clock.now())


class DeadlineWatchTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = SteppedClock()
        self.watch = DeadlineWatch(self.clock)

    def test_each_expires_once_and_soon_after_its_deadline(self) -> None:
        exchanges = [Exchange(self.clock) for _ in range(5)]
        for number, exchange in enumerate(exchanges):
            self.watch.set_deadline(exchange, 1.0 + number)
        self.clock.run(20.0)
        for number, exchange in enumerate(exchanges):
            (ended_at,) = exchange.ended_at
            self.assertGreaterEqual(ended_at, 1.0 + number)
            self.assertLessEqual(ended_at, 1.0 + number + 2 * CHECK_SECONDS)

    def test_one_that_ended_or_got_a_later_deadline_does_not_expire(self) -> None:
        ended, later = Exchange(self.clock), Exchange(self.clock)
        self.watch.set_deadline(ended, 1.0)
        self.watch.set_deadline(later, 1.0)
        self.watch.clear_deadline(ended)
        self.watch.set_deadline(later, 5.0)
        self.clock.run(4.0)
        self.assertEqual(([], []), (ended.ended_at, later.ended_at))
        self.clock.run(6.0)
        self.assertEqual(1, len(later.ended_at))

    def test_no_task_runs_while_there_is_no_deadline(self) -> None:
        self.watch.set_deadline(Exchange(self.clock), 0.1)
        self.clock.run(1.0)
        self.assertEqual([], self.clock._sleepers)
        again = Exchange(self.clock)
        self.watch.set_deadline(again, 2.0)
        self.clock.run(3.0)
        self.assertEqual(1, len(again.ended_at))


class EventCoalescerTest(unittest.TestCase):
    def read_delay(self, lag: float, max_delay: float) -> float:
        """Return the seconds for which a read is delayed."""
        clock = SteppedClock()
        coalescer = EventCoalescer(clock=clock, max_delay=max_delay, lag=lambda: lag)
        ended: list[float] = []

        def run() -> None:
            coalescer.delay_read()
            ended.append(clock.now())

        gevent.spawn(run)
        clock.run(10.0)
        return ended[0]

    def test_no_read_is_delayed_unless_the_router_lags(self) -> None:
        self.assertEqual(0.0, self.read_delay(0.0, 0.2))
        self.assertEqual(0.0, self.read_delay(LAG_THRESHOLD_SECONDS, 0.2))

    def test_a_lagging_router_delays_reads_for_less_than_users_allow(self) -> None:
        self.assertAlmostEqual(
            DELAY_FRACTION * 0.2, self.read_delay(2 * LAG_THRESHOLD_SECONDS, 0.2)
        )
        self.assertLess(DELAY_FRACTION, 0.5)

    def test_without_a_maximum_delay_no_read_is_delayed(self) -> None:
        self.assertEqual(0.0, self.read_delay(1.0, 0.0))


if __name__ == "__main__":
    unittest.main()
