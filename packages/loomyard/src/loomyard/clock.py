"""Clocks: a monotonic one for leases and a wall clock for what callers and operators read."""

from __future__ import annotations

import time
from typing import Protocol

import gevent

# A machine may be suspended. Its steady clock stands still meanwhile, and a lease that hangs on it
# outlives by the whole suspension what everybody else holds it to. This one goes on: a suspension
# looks like a pause of the process, which all waits have to bear anyway.
_COUNTING = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def machine_seconds() -> float:
    """Return the seconds since the machine's start, those of a suspension included."""
    return time.clock_gettime(_COUNTING)


class Clock(Protocol):
    """Tell the time and wait."""

    def now(self) -> float:
        """Return monotonic seconds, those of a suspension included."""

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""

    def sleep(self, seconds: float) -> None:
        """Wait for a number of seconds."""


class SystemClock:
    """The clock of the machine."""

    def now(self) -> float:
        return machine_seconds()

    def wall(self) -> float:
        return time.time()

    def sleep(self, seconds: float) -> None:
        gevent.sleep(seconds)
