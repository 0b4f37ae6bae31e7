"""Since when a signal that is handled now may have waited."""

from __future__ import annotations

import gevent
from attrs import define, field

from loomyard.clock import Clock
from loomyard_router.supervision.tasks import start_supervised

INTERVAL_SECONDS = 0.25
# A turn of the event loop that comes later than this after the one before follows a standstill.
MAX_GAP_SECONDS = 0.5


@define(eq=False)
class StandstillWatch:
    """Record turns of the event loop, as a process that stands still handles no signal.

    The first turn afterwards may be this task's or that of the signal, so the gap before the latest
    turn counts too.
    """

    clock: Clock
    _turned_at: float = field(init=False)
    _stood_still_from: float | None = None
    _task: gevent.Greenlet | None = None

    @_turned_at.default
    def _begin(self) -> float:
        return self.clock.now()

    def start(self) -> None:
        """Begin to record turns; a start takes long, and is no standstill."""
        self._turned_at = self.clock.now()
        self._task = start_supervised("standstill watch", self.clock, self._run)

    def stop(self) -> None:
        """Cease to record turns."""
        if self._task is not None:
            self._task.kill()

    def find_earliest(self) -> float:
        """Return when a signal that is handled now may have come at the earliest."""
        now = self.clock.now()
        if now - self._turned_at > MAX_GAP_SECONDS:
            return self._turned_at
        return now if self._stood_still_from is None else self._stood_still_from

    def record_turn(self) -> None:
        """Record that the event loop runs."""
        now = self.clock.now()
        stood_still = now - self._turned_at > MAX_GAP_SECONDS
        self._stood_still_from = self._turned_at if stood_still else None
        self._turned_at = now

    def _run(self) -> None:
        while True:
            self.record_turn()
            self.clock.sleep(INTERVAL_SECONDS)
