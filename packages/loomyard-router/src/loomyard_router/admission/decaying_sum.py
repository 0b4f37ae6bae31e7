"""Exponentially decaying sum."""

from __future__ import annotations

import math

from attrs import define


@define(eq=False)
class DecayingSum:
    """A sum in which each amount counts by exp(-age / window); ``window`` is in seconds."""

    window: float
    _value: float = 0.0
    _updated_at: float = 0.0

    def add(self, amount: float, now: float) -> None:
        """Decay the sum to the time ``now`` and add an amount."""
        self._value = self.value(now) + amount
        self._updated_at = now

    def value(self, now: float) -> float:
        """Return the sum as decayed at the time ``now``."""
        return self._value * math.exp(-max(0.0, now - self._updated_at) / self.window)
