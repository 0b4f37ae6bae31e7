"""Tests of the clock by which leases and deadlines are timed.

A VM may be suspended for seconds. Its monotonic clock stops meanwhile, so a lease or deadline timed
by that clock would outlast its expiry at all other routers by the length of the suspension.
"""

from __future__ import annotations

import time
import unittest
from unittest import mock

from loomyard.clock import SystemClock

SUSPENDED = 7.5


class SuspendedVm:
    """The clocks of a VM; the monotonic one does not count a suspension."""

    def __init__(self) -> None:
        self.suspended = 0.0

    def monotonic(self) -> float:
        return 100.0

    def clock_gettime(self, clock_id: int) -> float:
        """Return the seconds of a clock of the kernel."""
        counts = clock_id in (time.CLOCK_BOOTTIME, time.CLOCK_REALTIME)
        return self.monotonic() + self.suspended * counts


class SystemClockTest(unittest.TestCase):
    def test_a_suspension_of_the_vm_counts(self) -> None:
        vm = SuspendedVm()
        with (
            mock.patch("time.monotonic", vm.monotonic),
            mock.patch("time.clock_gettime", vm.clock_gettime),
        ):
            clock = SystemClock()
            before = clock.now()
            vm.suspended = SUSPENDED
            self.assertEqual(SUSPENDED, clock.now() - before)

    def test_time_never_decreases(self) -> None:
        clock = SystemClock()
        times = [clock.now() for _ in range(1000)]
        self.assertEqual(sorted(times), times)


if __name__ == "__main__":
    unittest.main()
