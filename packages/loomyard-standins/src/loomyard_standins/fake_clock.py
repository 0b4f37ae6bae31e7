"""A clock that tests move."""

from __future__ import annotations

import gevent
from gevent.event import Event


class FakeClock:
    """A monotonic clock and a wall clock that stand still between calls of ``advance``."""

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
        """Move on and let sleepers run."""
        self._now += seconds
        self._moved.set()
        self._moved = Event()
        gevent.sleep(0)
