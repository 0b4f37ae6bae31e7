"""Estimated prefill speed of a target."""

from __future__ import annotations

from attrs import frozen

# Defaults for a target without any answers yet.
DEFAULT_DELAY = 0.015
DEFAULT_TOKENS_PER_SECOND = 100_000.0


@frozen
class PrefillEstimate:
    """Fixed delay of each answer, in seconds, and prompt tokens read a second."""

    delay: float = DEFAULT_DELAY
    tokens_per_second: float = DEFAULT_TOKENS_PER_SECOND

    def seconds(self, tokens: float) -> float:
        """Return the time to first token where so many tokens are read before it."""
        return self.delay + tokens / self.tokens_per_second
