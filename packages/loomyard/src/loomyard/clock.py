"""Clocks: a monotonic one for leases and a wall clock for what callers and operators read."""

from __future__ import annotations

import time
from typing import Protocol

import gevent


class Clock(Protocol):
    """Tell the time and wait."""

    def now(self) -> float:
        """Return monotonic seconds."""

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""

    def sleep(self, seconds: float) -> None:
        """Wait for a number of seconds."""


class SystemClock:
    """The clock of the machine."""

    def now(self) -> float:
        return time.monotonic()

    def wall(self) -> float:
        return time.time()

    def sleep(self, seconds: float) -> None:
        gevent.sleep(seconds)
