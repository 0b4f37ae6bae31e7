"""Notice that this process stood still."""

from __future__ import annotations

from attrs import define


@define(eq=False, kw_only=True)
class PauseWatch:
    """Compare the ticks of a timer with the clock; seconds beyond ``bound`` are a pause."""

    bound: float
    ticked_at: float

    def tick(self, now: float) -> float:
        """Return the seconds of a pause since the last tick, or 0."""
        silence = now - self.ticked_at
        self.ticked_at = now
        return silence if silence > self.bound else 0.0
