"""Duration histograms of one client account at one service."""

from __future__ import annotations

from attrs import define, field
from hdrh.histogram import HdrHistogram

from loomyard_router.metrics.phase import Phase

UNITS_PER_SECOND = 10_000
MAX_UNITS = 10_000_000
SIGNIFICANT_DIGITS = 2
COUNTER_BYTES = 4


@define(eq=False)
class KeyHistograms:
    """Histograms by phase, in units of 0.1 ms up to 1000 s, and sums in seconds.

    ``used_at`` is the monotonic time of the last measurement.
    """

    used_at: float
    phases: dict[Phase, HdrHistogram] = field(factory=dict)
    sums: dict[Phase, float] = field(factory=dict)

    def record(self, phase: Phase, seconds: float) -> None:
        """Record a duration; the histogram clamps it to its range."""
        histogram = self.phases.get(phase)
        if histogram is None:
            histogram = self.phases[phase] = _make_histogram()
        units = int(max(seconds, 0.0) * UNITS_PER_SECOND)
        histogram.record_value(min(max(units, 1), MAX_UNITS))
        self.sums[phase] = self.sums.get(phase, 0.0) + seconds

    def add(self, other: KeyHistograms) -> None:
        """Add all measurements of another key."""
        for phase, histogram in other.phases.items():
            self.phases.setdefault(phase, _make_histogram()).add(histogram)
            self.sums[phase] = self.sums.get(phase, 0.0) + other.sums[phase]


def _make_histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_UNITS, SIGNIFICANT_DIGITS, word_size=COUNTER_BYTES)
