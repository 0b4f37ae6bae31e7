"""Estimate the time to first token of a target from its recent answers."""

from __future__ import annotations

import math

from attrs import define

from loomyard_router.admission.prefill_estimate import PrefillEstimate

# Bounds of a plausible prefill speed.
MIN_TOKENS_PER_SECOND = 5_000.0
MAX_TOKENS_PER_SECOND = 1_000_000.0
# Targets are slow for half a second or more at a time; the estimate has to follow within one or
# two seconds.
DECAY_SECONDS = 2.0
# After this time without answers the estimate returns to the prior, so that a target that was slow
# is tried again.
RESET_SECONDS = 6.0
# The prior weighs as much as this many answers.
PRIOR_WEIGHT = 2.0
# The prior enters the regression as two points: prompts of 0 and of this many tokens.
PRIOR_TOKENS = 8_000.0
# Longer times are clipped, so that one answer that hung does not distort the estimate.
OUTLIER_RATIO = 3.0
OUTLIER_SLACK = 0.1
# Each waiting request reads the estimate, and without new answers it changes slowly.
CACHE_SECONDS = 0.1


@define(eq=False)
class FirstTokenModel:
    """Linear regression of the time to first token on the prompt tokens read before it.

    Answers are weighted by exp(-age / DECAY_SECONDS). Without new ones the estimate returns to
    ``prior``, so that a target that was slow is tried again.
    """

    prior: PrefillEstimate = PrefillEstimate()
    _weight: float = 0.0
    _tokens: float = 0.0
    _seconds: float = 0.0
    _tokens_squared: float = 0.0
    _products: float = 0.0
    _recorded_at: float = -math.inf
    _cached: PrefillEstimate | None = None
    _cached_at: float = -math.inf

    def record(self, tokens: float, seconds: float, now: float) -> None:
        """Add an answer: its time to first token and the prompt tokens read in that time."""
        if seconds <= 0.0:
            return
        seconds = min(seconds, self.max_plausible(tokens, now))
        decay = self._decay(now)
        self._weight = self._weight * decay + 1.0
        self._tokens = self._tokens * decay + tokens
        self._seconds = self._seconds * decay + seconds
        self._tokens_squared = self._tokens_squared * decay + tokens * tokens
        self._products = self._products * decay + tokens * seconds
        self._recorded_at = now
        self._cached = None

    def max_plausible(self, tokens: float, now: float) -> float:
        """Return the time to first token, in seconds, beyond which an answer is an outlier."""
        return OUTLIER_RATIO * self.estimate(now).seconds(tokens) + OUTLIER_SLACK

    def estimate(self, now: float) -> PrefillEstimate:
        """Return the current estimate, computed again at most every ``CACHE_SECONDS``."""
        if self._cached is None or now - self._cached_at > CACHE_SECONDS:
            self._cached, self._cached_at = self._fit(now), now
        return self._cached

    def _fit(self, now: float) -> PrefillEstimate:
        decay = self._decay(now)
        low, high = self.prior.seconds(0.0), self.prior.seconds(PRIOR_TOKENS)
        half = PRIOR_WEIGHT / 2
        weight = self._weight * decay + PRIOR_WEIGHT
        tokens = (self._tokens * decay + half * PRIOR_TOKENS) / weight
        seconds = (self._seconds * decay + half * (low + high)) / weight
        squared = self._tokens_squared * decay + half * PRIOR_TOKENS * PRIOR_TOKENS
        products = self._products * decay + half * PRIOR_TOKENS * high
        variance = squared / weight - tokens * tokens
        slope = (products / weight - tokens * seconds) / variance
        slope = min(1.0 / MIN_TOKENS_PER_SECOND, max(1.0 / MAX_TOKENS_PER_SECOND, slope))
        return PrefillEstimate(max(0.0, seconds - slope * tokens), 1.0 / slope)

    def _decay(self, now: float) -> float:
        age = now - self._recorded_at
        return math.exp(-max(0.0, age) / DECAY_SECONDS) if age < RESET_SECONDS else 0.0
