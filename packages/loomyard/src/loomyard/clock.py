"""Clocks: monotonic time for leases and deadlines, wall time for callers and operators."""

from __future__ import annotations

import time
from typing import Protocol

import gevent

# CLOCK_MONOTONIC stops while a VM is suspended, so a lease timed by it would outlast its expiry at
# all other routers by the length of the suspension. CLOCK_BOOTTIME keeps counting: a suspension
# looks like a process pause, which all waits have to tolerate anyway.
_BOOT_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def boottime_seconds() -> float:
    """Return the seconds since the VM booted, including the time it was suspended."""
    return time.clock_gettime(_BOOT_CLOCK)


class Clock(Protocol):
    """Source of time and sleep, injected so that tests can control both."""

    def now(self) -> float:
        """Return monotonic seconds, including the time the VM was suspended."""

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""

    def sleep(self, seconds: float) -> None:
        """Block the calling task for a number of seconds."""


class SystemClock:
    """The clock of the operating system."""

    def now(self) -> float:
        return boottime_seconds()

    def wall(self) -> float:
        return time.time()

    def sleep(self, seconds: float) -> None:
        gevent.sleep(seconds)
