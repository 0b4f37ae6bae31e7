"""Drain rate of the queue of one account."""

from __future__ import annotations

MIN_SAMPLE_WEIGHT = 0.1
MIN_SAMPLES = 8


class DrainRate:
    """Moving average of the seconds between admissions while requests wait."""

    def __init__(self, now: float) -> None:
        self._interval = 0.0
        self._samples = 0
        self._since = now

    @property
    def known(self) -> bool:
        """Return whether there are enough samples for an estimate."""
        return self._samples >= MIN_SAMPLES

    def restart(self, now: float) -> None:
        """Start an interval, when the queue stops being empty."""
        self._since = now

    def record_admission(self, now: float) -> None:
        """Record an admission, which ends one interval and starts the next."""
        interval = now - self._since
        self._since = now
        weight = max(MIN_SAMPLE_WEIGHT, 1.0 / (self._samples + 1))
        self._interval += weight * (interval - self._interval)
        self._samples += 1

    def expected_seconds(self, requests: int) -> float:
        """Return the expected seconds until a number of requests has been admitted."""
        return self._interval * requests
