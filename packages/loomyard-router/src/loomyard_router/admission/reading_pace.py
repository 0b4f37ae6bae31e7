"""How fast an engine reads prompts, from how long first events took."""

from __future__ import annotations

from attrs import define

# Tokens a second before anything was measured, and the bounds of a believable measurement.
FIRST_PACE = 100_000.0
LEAST_PACE = 10_000.0
MOST_PACE = 1_000_000.0
# A short prompt's time says more of the engine's steps than of reading.
LEAST_TOKENS = 4_000
NEWEST_WEIGHT = 0.05


@define(eq=False)
class ReadingPace:
    """An exponential mean of tokens read a second, prompts ahead included."""

    tokens_per_second: float = FIRST_PACE

    def note(self, tokens: float, seconds: float) -> None:
        """Take in that tokens, those ahead included, were read in some seconds."""
        if tokens < LEAST_TOKENS or seconds <= 0:
            return
        pace = min(MOST_PACE, max(LEAST_PACE, tokens / seconds))
        self.tokens_per_second += NEWEST_WEIGHT * (pace - self.tokens_per_second)

    def seconds(self, tokens: float) -> float:
        """Return how long tokens take to be read."""
        return tokens / self.tokens_per_second
