"""Named fault points of one simulated router process."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import gevent
from gevent.event import Event

if TYPE_CHECKING:
    from collections.abc import Callable


class RouterKilled(gevent.GreenletExit):
    """Raised in each task of a killed router at its next checkpoint."""


class FaultPoints:
    """The state of one router process (running, paused or dead) and its armed fault points.

    ``log_delay`` delays each call of the log service, in seconds of the fake clock. Fakes call
    ``reach`` before each external effect. An action armed at a point runs once, when the point is
    reached; after it the task blocks while the process is paused.
    """

    def __init__(self) -> None:
        self.dead = False
        self.log_unreachable = False
        self.log_delay = 0.0
        self.reached: Counter[str] = Counter()
        self._running = Event()
        self._running.set()
        self._armed: dict[str, Callable[[], None]] = {}

    @property
    def paused(self) -> bool:
        return not self._running.is_set()

    def arm(self, point: str, action: Callable[[], None]) -> None:
        """Run an action once, when a point whose name starts with ``point`` is next reached."""
        self._armed[point] = action

    def reach(self, point: str) -> None:
        """Count a point and run the actions armed at it, with a checkpoint before and after."""
        self.checkpoint()
        self.reached[point] += 1
        for prefix in [armed for armed in self._armed if point.startswith(armed)]:
            # In its own task, since the action may kill this one.
            gevent.spawn(self._armed.pop(prefix)).join()
        self.checkpoint()

    def checkpoint(self) -> None:
        """Block while the process is paused; raise ``RouterKilled`` once it is dead."""
        while self.paused and not self.dead:
            self._running.wait()
        if self.dead:
            raise RouterKilled

    def pause(self) -> None:
        """Pause the process: its tasks block at their next checkpoint."""
        self._running.clear()

    def wake(self) -> None:
        """Resume the paused process."""
        self._running.set()

    def reset(self) -> None:
        """Resume the process, restore the log service and disarm all points."""
        self.log_unreachable = False
        self.log_delay = 0.0
        self._armed.clear()
        self.wake()

    def kill(self) -> None:
        """Mark the process dead, so that all its tasks end at their next checkpoint."""
        self.dead = True
        self._running.set()
