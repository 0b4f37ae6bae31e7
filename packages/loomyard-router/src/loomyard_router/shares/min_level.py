"""Minimum level among the backlogged accounts, and its growth rate."""

from __future__ import annotations

RATE_INTERVAL = 1.0
SAMPLE_WEIGHT = 0.5


class MinLevel:
    """Last minimum level and its growth a second; the level stays while there is no backlog."""

    def __init__(self) -> None:
        self.value = 0.0
        self.rate = 0.0
        self.known = False
        self._measured_from: tuple[float, float] | None = None

    def update(self, value: float, now: float) -> None:
        """Record the minimum level at a moment."""
        self.value = value
        self.known = True
        if self._measured_from is None:
            self._measured_from = now, value
        since, before = self._measured_from
        if now - since < RATE_INTERVAL:
            return
        rate = max(0.0, (value - before) / (now - since))
        self.rate += SAMPLE_WEIGHT * (rate - self.rate)
        self._measured_from = now, value

    def reset_rate(self) -> None:
        """Reset the growth rate, since no account has a backlog."""
        self.rate = 0.0
        self._measured_from = None
