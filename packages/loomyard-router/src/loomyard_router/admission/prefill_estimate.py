"""How fast a target begins its answers."""

from __future__ import annotations

from attrs import frozen

# A target of which nothing is known yet.
FIRST_DELAY = 0.015
FIRST_PACE = 100_000.0


@frozen
class PrefillEstimate:
    """A target's delay before and beside reading, in seconds, and its tokens read a second."""

    delay: float = FIRST_DELAY
    tokens_per_second: float = FIRST_PACE

    def seconds(self, tokens: float) -> float:
        """Return how long the first event takes after so many tokens."""
        return self.delay + tokens / self.tokens_per_second
