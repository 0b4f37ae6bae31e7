"""Event-loop lag: how long ready tasks wait for their turn in this process."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loomyard_router.supervision.listeners import Listeners
from loomyard_router.supervision.tasks import start_task

if TYPE_CHECKING:
    from collections.abc import Callable

    import gevent

    from loomyard.clock import Clock

# Seconds for which a measurement counts; an older one says nothing about the tasks ready now.
MAX_AGE_SECONDS = 0.05


class LoopLag:
    """Measure the event-loop lag, on demand.

    A timer does not show it, as it fires between two slices of the queue of ready tasks, however
    long that is. So a measurement is a task that takes its turn in the queue. Each read of
    ``overloaded`` starts one unless one is under way: a router lags only under requests, and 40
    measurements a second at all times were 80 of the 113 turns a second of a router that served 8
    requests a second.
    """

    def __init__(self, clock: Clock, *, max_lag: float) -> None:
        self._clock = clock
        self._max_lag = max_lag
        self._started_at: float | None = None
        self._task: gevent.Greenlet | None = None
        self._measured = 0.0
        self._measured_at = 0.0
        self._listeners = Listeners("loop lag")

    @property
    def seconds(self) -> float:
        """Return the last measurement, or the wait so far of one under way if that is longer."""
        now = self._clock.now()
        waiting = 0.0 if self._started_at is None else now - self._started_at
        measured = self._measured if now - self._measured_at <= MAX_AGE_SECONDS else 0.0
        return max(measured, waiting)

    @property
    def overloaded(self) -> bool:
        """Tell whether the lag is above ``max_lag``, and start another measurement."""
        overloaded = self.seconds > self._max_lag
        if self._task is None or self._task.dead:
            # One that ended without a measurement got no memory to start with.
            self._started_at = None
            started_at = self._clock.now()
            self._task = start_task("loop lag", self._measure, started_at)
            self._started_at = started_at
        return overloaded

    def subscribe(self, on_measured: Callable[[float], None]) -> None:
        """Call back with each measured lag in seconds; it must not block."""
        self._listeners.subscribe(on_measured)

    def _measure(self, started_at: float) -> None:
        """Record the wait of this task, which has got its turn now."""
        self._measured_at = self._clock.now()
        self._measured = self._measured_at - started_at
        self._started_at = None
        self._task = None
        self._listeners.notify(self._measured)
