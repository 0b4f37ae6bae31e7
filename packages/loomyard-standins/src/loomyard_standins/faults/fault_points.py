"""Named points of one router process at which a test can stop it."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import gevent
from gevent.event import Event

if TYPE_CHECKING:
    from collections.abc import Callable


class RouterKilled(gevent.GreenletExit):
    """Raised in every task of a killed router at its next step."""


class FaultPoints:
    """The process of one router: running, paused or dead; cut from the log service or not.
    ``log_delay`` is in seconds of the clock for each call of the log service.

    ``reach`` stands before each effect on the outside. An action that is armed at a point runs
    once, when the point is reached; then the task waits while the process is paused.
    """

    def __init__(self) -> None:
        self.dead = False
        self.log_cut = False
        self.log_delay = 0.0
        self.reached: Counter[str] = Counter()
        self._running = Event()
        self._running.set()
        self._armed: dict[str, Callable[[], None]] = {}

    @property
    def paused(self) -> bool:
        return not self._running.is_set()

    def arm(self, point: str, action: Callable[[], None]) -> None:
        """Run an action when a point whose name starts so is reached next."""
        self._armed[point] = action

    def reach(self, point: str) -> None:
        """Pass a point, or wait there, or end there."""
        self.pass_on()
        self.reached[point] += 1
        for prefix in [armed for armed in self._armed if point.startswith(armed)]:
            # In a task of its own, since the action may end this one.
            gevent.spawn(self._armed.pop(prefix)).join()
        self.pass_on()

    def pass_on(self) -> None:
        """Wait while paused; end where dead."""
        while self.paused and not self.dead:
            self._running.wait()
        if self.dead:
            raise RouterKilled

    def pause(self) -> None:
        """Freeze the process."""
        self._running.clear()

    def wake(self) -> None:
        """Let the process go on."""
        self._running.set()

    def mend(self) -> None:
        """Wake, reach the log service again and disarm all points."""
        self.log_cut = False
        self.log_delay = 0.0
        self._armed.clear()
        self.wake()

    def kill(self) -> None:
        """Refuse all further effects of the process."""
        self.dead = True
        self._running.set()
