"""Tests of the measurement of event-loop lag, and of an overloaded router."""

from __future__ import annotations

import unittest

import gevent

from loomyard_router.requests.caller_presence import CallerPresence
from loomyard_router.routed.loop_lag import MAX_AGE_SECONDS, LoopLag
from loomyard_standins.fake_clock import FakeClock
from test_loomyard_router.test_routed.routed_case import RoutedCase, route
from test_loomyard_router.test_routed.scripted_target import plain_script

MAX_LAG = 0.08


class TestLoopLag(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock()
        self.lag = LoopLag(self.clock, max_lag=MAX_LAG)

    def measure_behind(self, tasks: int) -> None:
        """Start a measurement behind some ready tasks of 0.01 s each, and let all of them run."""
        for _ in range(tasks):
            gevent.spawn(self.clock.advance, 0.01)
        self.assertFalse(self.lag.overloaded)
        gevent.sleep(0)

    def test_without_a_read_nothing_is_measured(self) -> None:
        self.clock.advance(60.0)
        gevent.sleep(0)
        self.assertFalse(self.lag.overloaded)

    def test_a_long_queue_of_ready_tasks_shows_at_the_next_read(self) -> None:
        self.measure_behind(50)
        self.assertAlmostEqual(0.5, self.lag.seconds)
        self.assertTrue(self.lag.overloaded)

    def test_the_wait_of_a_measurement_under_way_counts(self) -> None:
        self.assertFalse(self.lag.overloaded)
        # The measuring task has not run yet.
        self.clock.advance(MAX_LAG + 0.01)
        self.assertTrue(self.lag.overloaded)

    def test_a_short_queue_is_no_lag(self) -> None:
        self.measure_behind(5)
        self.assertFalse(self.lag.overloaded)

    def test_each_read_starts_another_measurement(self) -> None:
        self.measure_behind(50)
        self.assertTrue(self.lag.overloaded)
        gevent.sleep(0)
        self.assertFalse(self.lag.overloaded)

    def test_an_old_measurement_does_not_count(self) -> None:
        self.measure_behind(50)
        self.clock.advance(MAX_AGE_SECONDS + 0.01)
        self.assertFalse(self.lag.overloaded)


class TestPresence(unittest.TestCase):
    def test_a_check_finds_a_caller_that_has_gone_without_notification(self) -> None:
        presence = CallerPresence()
        calls: list[bool] = []
        presence.subscribe(lambda: calls.append(True))
        there = [True]
        presence.set_probe(lambda: there[0])
        self.assertTrue(presence.check())
        there[0] = False
        self.assertFalse(presence.check())
        self.assertEqual([True], calls)


class TestOverloadedRouter(RoutedCase):
    def test_new_requests_are_refused_as_not_run(self) -> None:
        target = self.target("t1", plain_script)
        self.publish(route())
        self.router.app._overloaded = lambda: True
        response = self.call()
        self.assertEqual(503, response.status)
        self.assertGreater(float(response.headers["Retry-After"]), 0)
        self.assertEqual([], target.received)


if __name__ == "__main__":
    unittest.main()
