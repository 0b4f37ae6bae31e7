"""How far the budget of messages binds."""

from __future__ import annotations

MOST_STRETCH = 2.0
GROWTH_PER_SECOND = 0.5
DECAY_PER_SECOND = 0.5


class Congestion:
    """A factor on margins that grows while urgent messages wait for the budget, then decays.

    With wider margins routers keep slots longer, so less has to be told.
    """

    def __init__(self) -> None:
        self.stretch = 1.0
        self._noted_at: float | None = None

    def note(self, now: float, *, blocked: bool) -> None:
        """Take in whether an urgent message waits."""
        elapsed = 0.0 if self._noted_at is None else min(1.0, now - self._noted_at)
        self._noted_at = now
        rate = GROWTH_PER_SECOND if blocked else -DECAY_PER_SECOND
        self.stretch = min(MOST_STRETCH, max(1.0, self.stretch * (1.0 + rate * elapsed)))
