"""Fake clock that tests advance explicitly."""

from __future__ import annotations

import gevent
from gevent.event import Event


class FakeClock:
    """Monotonic clock and wall clock that move only in ``advance``."""

    def __init__(self, *, wall: float = 1_000_000.0) -> None:
        self._now = 0.0
        self._wall = wall
        self._moved = Event()

    def now(self) -> float:
        return self._now

    def wall(self) -> float:
        return self._wall + self._now

    def sleep(self, seconds: float) -> None:
        until = self._now + seconds
        while self._now < until:
            self._moved.wait()

    def advance(self, seconds: float) -> None:
        """Move the time forward by some seconds and let sleepers that are due run."""
        self._now += seconds
        self._moved.set()
        self._moved = Event()
        gevent.sleep(0)
