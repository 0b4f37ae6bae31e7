"""Estimate of an engine's concurrency limit from its delayed load reports."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from loomyard.external.engine import LoadReport

MAX_SLOTS = 4096
# Limit of the estimate, as a multiple of the configured slots.
MAX_GROWTH = 4
# Queued requests tolerated, as a fraction of those running: they keep the engine busy while
# answers travel back and new requests travel there.
QUEUE_ALLOWANCE_FRACTION = 0.05
GROWTH_FRACTION = 0.25
# A report counts as full from this fraction of the slots on: the other requests are in transit.
FULL_FRACTION = 0.9
REPORTS_TO_SHRINK = 3
# Growth must add at least this fraction of the throughput it would add with linear scaling.
MIN_GAIN = 0.25
REPROBE_SECONDS = 60.0
MAX_REPROBE_SECONDS = 960.0


class SlotEstimate:
    """Grows while reports show all slots in use without a queue; shrinks to the reported limit.

    A full engine with a queue reports its limit as ``running``, however old the report is, so
    shrinking needs no control loop that could oscillate with the delay.
    """

    def __init__(self, start: int) -> None:
        self._start = start
        self._slots = start
        self._queueing: deque[int] = deque(maxlen=REPORTS_TO_SHRINK)
        self._last_full: tuple[int, float] | None = None
        self._grow_after = float("-inf")
        self._reprobe = REPROBE_SECONDS

    @property
    def slots(self) -> int:
        return self._slots

    @property
    def start(self) -> int:
        return self._start

    def adopt(self, slots: int) -> None:
        """Replace the estimate by that of another router, within the bounds."""
        self._slots = self._bounded(slots)

    def observe(self, report: LoadReport, now: float) -> bool:
        """Update the estimate by a load report; return whether it changed."""
        before = self._slots
        if report.waiting > queue_allowance(report.running):
            self._observe_queue(report, now)
        else:
            self._queueing.clear()
            if report.waiting == 0 and report.running >= FULL_FRACTION * self._slots:
                self._observe_full(report, now)
        return self._slots != before

    def _observe_queue(self, report: LoadReport, now: float) -> None:
        self._queueing.append(report.running)
        if len(self._queueing) < REPORTS_TO_SHRINK:
            return
        limit = max(self._queueing)
        found = self._bounded(limit + queue_allowance(limit))
        if found < self._slots:
            self._slots = found
            self._hold_growth(now)

    def _observe_full(self, report: LoadReport, now: float) -> None:
        if self._gained_too_little(report):
            assert self._last_full is not None
            self._slots = self._bounded(self._last_full[0])
            self._last_full = None
            self._hold_growth(now)
            return
        if now < self._grow_after:
            return
        if report.step_seconds > 0:
            self._last_full = (report.running, report.step_seconds)
        self._slots = self._bounded(self._slots + max(1, int(self._slots * GROWTH_FRACTION)))

    def _gained_too_little(self, report: LoadReport) -> bool:
        if self._last_full is None or report.step_seconds <= 0:
            return False
        running, step_seconds = self._last_full
        if report.running <= running:
            return False
        required = 1 + MIN_GAIN * (report.running / running - 1)
        gain = (report.running / report.step_seconds) / (running / step_seconds)
        return gain < required

    def _hold_growth(self, now: float) -> None:
        self._grow_after = now + self._reprobe
        self._reprobe = min(2 * self._reprobe, MAX_REPROBE_SECONDS)

    def _bounded(self, slots: int) -> int:
        return max(1, min(slots, self._start * MAX_GROWTH, MAX_SLOTS))


def queue_allowance(running: int) -> int:
    """Return how many requests may queue at an engine that runs ``running``, at least one."""
    return max(1, round(running * QUEUE_ALLOWANCE_FRACTION))
