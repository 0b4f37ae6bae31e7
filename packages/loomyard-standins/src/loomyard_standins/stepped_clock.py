"""Simulated clock on which sleeping tasks run in order of time, without real waiting."""

from __future__ import annotations

import heapq

import gevent
from gevent.event import Event

# Event loop passes before time moves on; a task woken in one pass runs in the next.
PASSES_PER_STEP = 8


class SteppedClock:
    """Clock that jumps from the end of one sleep to the next during ``run``."""

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
        """Run tasks until a time on this clock; they may block on nothing else."""
        self._run_ready_tasks()
        while self._sleepers and self._sleepers[0][0] <= until:
            due, _, woken = heapq.heappop(self._sleepers)
            self._now = max(self._now, due)
            woken.set()
            self._run_ready_tasks()
        self._now = until

    def pause(self, seconds: float) -> None:
        """Let time pass in which no task runs, as if all processes were paused."""
        self._now += seconds

    def _run_ready_tasks(self) -> None:
        for _ in range(PASSES_PER_STEP):
            gevent.sleep(0)
