"""Tests of how a router that is behind treats its callers."""

from __future__ import annotations

import unittest

import gevent

from loomyard_router.requests.caller_presence import CallerPresence
from loomyard_router.routed.loop_lag import MAX_AGE_SECONDS, LoopLag
from loomyard_standins.fake_clock import FakeClock
from test_loomyard_router.test_routed.routed_case import RoutedCase, route
from test_loomyard_router.test_routed.scripted_target import plain_script

MOST_LAG = 0.08


class TestLoopLag(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock()
        self.lag = LoopLag(self.clock, max_lag=MOST_LAG)

    def ask_before(self, tasks: int) -> None:
        """Ask while some tasks of 0.01 s each are ready, and let them have their turn."""
        for _ in range(tasks):
            gevent.spawn(self.clock.advance, 0.01)
        self.assertFalse(self.lag.overloaded)
        gevent.sleep(0)

    def test_a_router_that_is_not_asked_does_nothing(self) -> None:
        self.clock.advance(60.0)
        gevent.sleep(0)
        self.assertFalse(self.lag.overloaded)

    def test_a_long_queue_of_ready_tasks_is_found_by_the_next_who_asks(self) -> None:
        self.ask_before(50)
        self.assertAlmostEqual(0.5, self.lag.seconds)
        self.assertTrue(self.lag.overloaded)

    def test_a_look_that_still_waits_tells_as_well(self) -> None:
        self.assertFalse(self.lag.overloaded)
        # The look has no turn yet.
        self.clock.advance(MOST_LAG + 0.01)
        self.assertTrue(self.lag.overloaded)

    def test_a_short_queue_is_no_lag(self) -> None:
        self.ask_before(5)
        self.assertFalse(self.lag.overloaded)

    def test_who_asks_goes_on_looking(self) -> None:
        self.ask_before(50)
        self.assertTrue(self.lag.overloaded)
        gevent.sleep(0)
        self.assertFalse(self.lag.overloaded)

    def test_what_was_seen_long_ago_says_nothing(self) -> None:
        self.ask_before(50)
        self.clock.advance(MAX_AGE_SECONDS + 0.01)
        self.assertFalse(self.lag.overloaded)


class TestPresence(unittest.TestCase):
    def test_a_look_finds_a_caller_that_went_unnoticed(self) -> None:
        presence = CallerPresence()
        told: list[bool] = []
        presence.subscribe(lambda: told.append(True))
        there = [True]
        presence.set_probe(lambda: there[0])
        self.assertTrue(presence.check())
        there[0] = False
        self.assertFalse(presence.check())
        self.assertEqual([True], told)


class TestOverloadedRouter(RoutedCase):
    def test_what_comes_is_refused_as_not_run(self) -> None:
        target = self.target("t1", plain_script)
        self.publish(route())
        self.router.app._overloaded = lambda: True
        response = self.call()
        self.assertEqual(503, response.status)
        self.assertGreater(float(response.headers["Retry-After"]), 0)
        self.assertEqual([], target.received)


if __name__ == "__main__":
    unittest.main()
