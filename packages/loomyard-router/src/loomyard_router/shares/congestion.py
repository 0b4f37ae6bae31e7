"""Congestion of the message budget."""

from __future__ import annotations

MAX_MARGIN_FACTOR = 2.0
GROWTH_PER_SECOND = 0.5
DECAY_PER_SECOND = 0.5


class Congestion:
    """Factor on margins that grows while due messages wait for the budget, then decays.

    With wider margins routers hold slots longer, so fewer messages are needed.
    """

    def __init__(self) -> None:
        self.margin_factor = 1.0
        self._updated_at: float | None = None

    def update(self, now: float, *, blocked: bool) -> None:
        """Update the factor; ``blocked`` tells whether a due message waits for the budget."""
        elapsed = 0.0 if self._updated_at is None else min(1.0, now - self._updated_at)
        self._updated_at = now
        rate = GROWTH_PER_SECOND if blocked else -DECAY_PER_SECOND
        self.margin_factor = min(
            MAX_MARGIN_FACTOR, max(1.0, self.margin_factor * (1.0 + rate * elapsed))
        )
