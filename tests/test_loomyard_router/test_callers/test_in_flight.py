"""Tests of the wait of a graceful shutdown for requests in flight.

Timers stand still while the VM is suspended; a wait by timers alone would exceed the grace.
"""

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
    def test_a_suspension_of_the_vm_counts_against_the_grace(self) -> None:
        clock = SystemClock()
        in_flight = InFlight(clock)
        in_flight.record_start()
        waiting = gevent.spawn(in_flight.wait_idle, clock.now() + GRACE)
        gevent.sleep(0)
        later = time.clock_gettime(time.CLOCK_BOOTTIME) + GRACE
        with mock.patch("time.clock_gettime", lambda _: later):
            self.assertIs(False, waiting.get(timeout=WAIT))

    def test_the_end_of_the_last_request_ends_the_wait(self) -> None:
        clock = SystemClock()
        in_flight = InFlight(clock)
        in_flight.record_start()
        waiting = gevent.spawn(in_flight.wait_idle, clock.now() + GRACE)
        gevent.sleep(0)
        in_flight.record_end()
        self.assertIs(True, waiting.get(timeout=WAIT))


if __name__ == "__main__":
    unittest.main()
