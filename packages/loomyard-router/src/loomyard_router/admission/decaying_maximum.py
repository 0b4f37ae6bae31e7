"""Exponentially decaying maximum."""

from __future__ import annotations

import math

from attrs import define


@define(eq=False)
class DecayingMaximum:
    """The largest of some values, each multiplied by exp(-age / window).

    ``window`` is in seconds.
    """

    window: float
    _value: float = 0.0
    _updated_at: float = 0.0

    def add(self, value: float, now: float) -> None:
        """Add a value at the time ``now``."""
        self._value = max(value, self.value(now))
        self._updated_at = now

    def value(self, now: float) -> float:
        """Return the maximum as decayed at the time ``now``."""
        return self._value * math.exp(-max(0.0, now - self._updated_at) / self.window)
