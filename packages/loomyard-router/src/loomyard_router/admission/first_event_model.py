"""Predict how long a target takes to its first event, from the first events seen lately."""

from __future__ import annotations

import math

from attrs import define

from loomyard_router.admission.prefill_estimate import PrefillEstimate

# Bounds of a believable pace, in tokens a second.
LEAST_PACE = 5_000.0
MOST_PACE = 1_000_000.0
# Slow spells last half a second and more, so an estimate has to follow within one or two.
MEMORY_SECONDS = 2.0
# A target that was not tried for so long is believed what it was at first, and tried again.
FORGOTTEN_SECONDS = 6.0
# What was believed before counts as much as so many first events.
PRIOR_WEIGHT = 2.0
# The prompt, in tokens, up to which an earlier belief is taken for a line.
PRIOR_TOKENS = 8_000.0
# One answer that hung must not draw the estimate.
OUTLIER_RATIO = 3.0
OUTLIER_SLACK = 0.1
# An estimate is asked for with each request that waits, and drifts slowly without new answers.
FRESH_SECONDS = 0.1


@define(eq=False)
class FirstEventModel:
    """A line through the first events seen lately: seconds over the tokens read before them.

    Older ones count exponentially less. Without new ones the estimate returns to what was believed
    before any, so that a target that was slow is tried again.
    """

    believed: PrefillEstimate = PrefillEstimate()
    _weight: float = 0.0
    _tokens: float = 0.0
    _seconds: float = 0.0
    _tokens_squared: float = 0.0
    _products: float = 0.0
    _noted_at: float = -math.inf
    _pace: PrefillEstimate | None = None
    _pace_at: float = -math.inf

    def note(self, tokens: float, seconds: float, now: float) -> None:
        """Take in that a first event came after some seconds, with so many tokens read before."""
        if seconds <= 0.0:
            return
        seconds = min(seconds, self.most_believable(tokens, now))
        kept = self._kept(now)
        self._weight = self._weight * kept + 1.0
        self._tokens = self._tokens * kept + tokens
        self._seconds = self._seconds * kept + seconds
        self._tokens_squared = self._tokens_squared * kept + tokens * tokens
        self._products = self._products * kept + tokens * seconds
        self._noted_at = now
        self._pace = None

    def most_believable(self, tokens: float, now: float) -> float:
        """Return the time beyond which a first event is taken for an outlier."""
        return OUTLIER_RATIO * self.pace(now).seconds(tokens) + OUTLIER_SLACK

    def pace(self, now: float) -> PrefillEstimate:
        """Return the estimate."""
        if self._pace is None or now - self._pace_at > FRESH_SECONDS:
            self._pace, self._pace_at = self._estimate(now), now
        return self._pace

    def _estimate(self, now: float) -> PrefillEstimate:
        kept = self._kept(now)
        low, high = self.believed.seconds(0.0), self.believed.seconds(PRIOR_TOKENS)
        half = PRIOR_WEIGHT / 2
        weight = self._weight * kept + PRIOR_WEIGHT
        tokens = (self._tokens * kept + half * PRIOR_TOKENS) / weight
        seconds = (self._seconds * kept + half * (low + high)) / weight
        squared = self._tokens_squared * kept + half * PRIOR_TOKENS * PRIOR_TOKENS
        products = self._products * kept + half * PRIOR_TOKENS * high
        spread = squared / weight - tokens * tokens
        slope = (products / weight - tokens * seconds) / spread
        slope = min(1.0 / LEAST_PACE, max(1.0 / MOST_PACE, slope))
        return PrefillEstimate(max(0.0, seconds - slope * tokens), 1.0 / slope)

    def _kept(self, now: float) -> float:
        age = now - self._noted_at
        return math.exp(-max(0.0, age) / MEMORY_SECONDS) if age < FORGOTTEN_SECONDS else 0.0
