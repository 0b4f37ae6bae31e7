"""A clock for tasks of which a run makes every sleep in order, without waiting."""

from __future__ import annotations

import heapq

import gevent
from gevent.event import Event

# How often ready tasks get a turn before time moves on; what one of them wakes runs in the next.
TURNS = 8


class SteppedClock:
    """A clock that jumps from the end of one sleep to the next while ``run`` is called."""

    def __init__(self, *, wall: float = 1_000_000.0) -> None:
        self._now = 0.0
        self._wall = wall
        self._count = 0
        self._sleepers: list[tuple[float, int, Event]] = []

    def now(self) -> float:
        return self._now

    def wall(self) -> float:
        return self._wall + self._now

    def sleep(self, seconds: float) -> None:
        woken = Event()
        self._count += 1
        heapq.heappush(self._sleepers, (self._now + max(0.0, seconds), self._count, woken))
        woken.wait()

    def run(self, until: float) -> None:
        """Let tasks run until a time; none of them may wait for anything but this clock."""
        self._give_turns()
        while self._sleepers and self._sleepers[0][0] <= until:
            self._now, _, woken = heapq.heappop(self._sleepers)
            woken.set()
            self._give_turns()
        self._now = until

    def _give_turns(self) -> None:
        for _ in range(TURNS):
            gevent.sleep(0)
