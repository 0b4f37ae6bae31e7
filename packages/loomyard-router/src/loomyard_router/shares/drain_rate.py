"""How fast the queue of one account drains."""

from __future__ import annotations

WEIGHT_OF_LAST = 0.1
FEWEST_OBSERVED = 8


class DrainRate:
    """A moving average of the seconds between admissions while requests wait."""

    def __init__(self, now: float) -> None:
        self._interval = 0.0
        self._observed = 0
        self._since = now

    @property
    def known(self) -> bool:
        """Tell whether enough was observed to judge by."""
        return self._observed >= FEWEST_OBSERVED

    def begin(self, now: float) -> None:
        """Take in that the queue is empty no more."""
        self._since = now

    def note(self, now: float) -> None:
        """Take in an admission."""
        interval = now - self._since
        self._since = now
        weight = max(WEIGHT_OF_LAST, 1.0 / (self._observed + 1))
        self._interval += weight * (interval - self._interval)
        self._observed += 1

    def seconds(self, requests: int) -> float:
        """Return how long a number of requests probably takes."""
        return self._interval * requests
