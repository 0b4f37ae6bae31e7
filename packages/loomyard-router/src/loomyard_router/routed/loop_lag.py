"""How long what is ready waits for its turn in this process."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent

if TYPE_CHECKING:
    from loomyard.clock import Clock

LOOK_SECONDS = 0.025


class LoopLag:
    """Measure how long ready tasks wait for their turn.

    A timer alone does not tell: it fires between two slices of the queue of ready tasks, however
    long that is. So each look takes its turn in the queue.
    """

    def __init__(self, clock: Clock, *, most: float) -> None:
        self._clock = clock
        self._most = most
        self._due = clock.now() + LOOK_SECONDS
        self._seen = 0.0
        self._task: gevent.Greenlet | None = None

    @property
    def seconds(self) -> float:
        """Return how late the last look was, or how long one is overdue."""
        return max(self._seen, self._clock.now() - self._due)

    @property
    def overloaded(self) -> bool:
        """Tell whether new work would come too late."""
        return self.seconds > self._most

    def start(self) -> None:
        """Start to look."""
        self._task = gevent.spawn(self._run)

    def stop(self) -> None:
        """End."""
        if self._task is not None:
            self._task.kill(block=False)

    def look(self) -> None:
        """Take in that the timer has fired."""
        now = self._clock.now()
        self._seen = max(0.0, now - self._due)
        self._due = now + LOOK_SECONDS

    def _run(self) -> None:
        while True:
            self._clock.sleep(max(0.0, self._due - self._clock.now()))
            self._clock.sleep(0.0)
            self.look()
