"""The least level among the backlogged accounts, and how fast it grows."""

from __future__ import annotations

RATE_INTERVAL = 1.0
WEIGHT_OF_LAST = 0.5


class FloorLevel:
    """The floor as last seen; it stays where it was while nobody is backlogged."""

    def __init__(self) -> None:
        self.value = 0.0
        self.rate = 0.0
        self.known = False
        self._measured_from: tuple[float, float] | None = None

    def note(self, value: float, now: float) -> None:
        """Take in the floor at a moment."""
        self.value = value
        self.known = True
        if self._measured_from is None:
            self._measured_from = now, value
        since, before = self._measured_from
        if now - since < RATE_INTERVAL:
            return
        rate = max(0.0, (value - before) / (now - since))
        self.rate += WEIGHT_OF_LAST * (rate - self.rate)
        self._measured_from = now, value

    def rest(self) -> None:
        """Take in that nobody is backlogged."""
        self.rate = 0.0
        self._measured_from = None
