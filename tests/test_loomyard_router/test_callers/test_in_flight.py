"""Tests of the wait of a planned stop for what runs."""

from __future__ import annotations

import time
import unittest
from unittest import mock

import gevent

from loomyard.clock import SystemClock
from loomyard_router.callers.in_flight import InFlight

GRACE = 60.0
WAIT = 10.0


class InFlightTest(unittest.TestCase):
    def test_a_suspension_counts_as_a_part_of_the_grace(self) -> None:
        clock = SystemClock()
        in_flight = InFlight(clock)
        in_flight.enter()
        waiting = gevent.spawn(in_flight.wait_idle, clock.now() + GRACE)
        gevent.sleep(0)
        later = time.clock_gettime(time.CLOCK_BOOTTIME) + GRACE
        with mock.patch("time.clock_gettime", lambda _: later):
            self.assertIs(False, waiting.get(timeout=WAIT))

    def test_the_last_answer_ends_the_wait(self) -> None:
        clock = SystemClock()
        in_flight = InFlight(clock)
        in_flight.enter()
        waiting = gevent.spawn(in_flight.wait_idle, clock.now() + GRACE)
        gevent.sleep(0)
        in_flight.leave()
        self.assertIs(True, waiting.get(timeout=WAIT))


if __name__ == "__main__":
    unittest.main()
