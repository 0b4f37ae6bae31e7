"""Tests of the clock that leases and deadlines hang on.

A VM may be suspended for seconds. Its steady clock stands still meanwhile, so a lease or deadline
that hangs on that clock outlives by the whole suspension what all other machines hold it to.
"""

from __future__ import annotations

import time
import unittest
from unittest import mock

from loomyard.clock import SystemClock

SUSPENDED = 7.5


class SuspendedMachine:
    """The clocks of a machine; the steady one does not count a suspension."""

    def __init__(self) -> None:
        self.suspended = 0.0

    def steady(self) -> float:
        return 100.0

    def read(self, which: int) -> float:
        """Return what a clock of the kernel tells."""
        counts = which in (time.CLOCK_BOOTTIME, time.CLOCK_REALTIME)
        return self.steady() + self.suspended * counts


class SystemClockTest(unittest.TestCase):
    def test_a_suspension_of_the_machine_counts(self) -> None:
        machine = SuspendedMachine()
        with (
            mock.patch("time.monotonic", machine.steady),
            mock.patch("time.clock_gettime", machine.read),
        ):
            clock = SystemClock()
            before = clock.now()
            machine.suspended = SUSPENDED
            self.assertEqual(SUSPENDED, clock.now() - before)

    def test_it_never_goes_back(self) -> None:
        clock = SystemClock()
        seen = [clock.now() for _ in range(1000)]
        self.assertEqual(sorted(seen), seen)


if __name__ == "__main__":
    unittest.main()
