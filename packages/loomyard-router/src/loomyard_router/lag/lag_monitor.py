"""Hysteresis on the event-loop lag: whether this router lags, for duties to be moved."""

from __future__ import annotations

import logging
import math
from typing import TYPE_CHECKING

from loomyard.events import Event, emit
from loomyard_router.supervision.listeners import Listeners
from loomyard_router.supervision.tasks import start_task

if TYPE_CHECKING:
    from collections.abc import Callable

    from loomyard.clock import Clock

logger = logging.getLogger(__name__)

# Seconds of lag without a break until the router counts as lagging. A collection of garbage or a
# large message lasts less.
ONSET_SECONDS = 0.3
# A gap between two measurements of lag that is longer than this ends it, since nobody asked.
MAX_GAP_SECONDS = 0.5
# Hysteresis keeps duties from moving with every burst: they return this long after the last lag.
RECOVERY_SECONDS = 5.0
CHECK_SECONDS = 0.5
MILLISECONDS = 1000


class LagMonitor:
    """Tell whether this router has lagged for a while, from the measurements of ``LoopLag``.

    ``threshold`` is in seconds of lag.
    """

    def __init__(self, clock: Clock, *, threshold: float) -> None:
        self._clock = clock
        self._threshold = threshold
        self._lagging_since = math.inf
        self._lagged_at = -math.inf
        self._worst = 0.0
        self._is_lagging = False
        self._listeners = Listeners("lag monitor")

    @property
    def is_lagging(self) -> bool:
        """Tell whether this router lags, or did a moment ago."""
        return self._is_lagging

    def subscribe(self, on_change: Callable[[], None]) -> None:
        """Call back when this router begins or ceases to lag; it must not block."""
        self._listeners.subscribe(on_change)

    def record(self, lag: float) -> None:
        """Record a measured event-loop lag in seconds."""
        now = self._clock.now()
        if lag <= self._threshold:
            self._lagging_since = math.inf
            return
        if now - self._lagged_at > MAX_GAP_SECONDS:
            # The lag itself lasted as long as its measurement.
            self._lagging_since = now - lag
        self._lagging_since = min(self._lagging_since, now - lag)
        self._lagged_at = now
        self._worst = max(self._worst, lag)
        if not self._is_lagging and now - self._lagging_since >= ONSET_SECONDS:
            self._begin()

    def _begin(self) -> None:
        # First, as only this task ends the state.
        start_task("lag monitor", self._await_recovery)
        self._is_lagging = True
        emit(logger, Event.ROUTER_LAGS, lag_ms=round(self._worst * MILLISECONDS))
        self._listeners.notify()

    def _await_recovery(self) -> None:
        began_at = self._clock.now()
        while self._clock.now() - self._lagged_at < RECOVERY_SECONDS:
            self._clock.sleep(CHECK_SECONDS)
        self._is_lagging = False
        emit(
            logger,
            Event.ROUTER_RECOVERED,
            lagged_s=round(self._lagged_at - began_at, 1),
            worst_ms=round(self._worst * MILLISECONDS),
        )
        self._worst = 0.0
        self._listeners.notify()
