"""Counters and latencies of the callers of one client account."""

from __future__ import annotations

from attrs import define, field
from hdrh.histogram import HdrHistogram

MAX_MILLISECONDS = 60_000
SIGNIFICANT_DIGITS = 3


@define(eq=False)
class Tally:
    """Answers, tokens, refusals and latencies in milliseconds."""

    answers: int = 0
    tokens: int = 0
    refusals: int = 0
    latency: HdrHistogram = field(
        factory=lambda: HdrHistogram(1, MAX_MILLISECONDS, SIGNIFICANT_DIGITS)
    )

    def record(self, seconds: float) -> None:
        """Record the latency of an answer."""
        self.answers += 1
        self.latency.record_value(max(1, round(1000 * seconds)))

    def percentile(self, percent: float) -> int:
        """Return a percentile of the latency in milliseconds."""
        return int(self.latency.get_value_at_percentile(percent))
