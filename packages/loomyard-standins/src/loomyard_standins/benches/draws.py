"""Seeded random draws of costs, cost hints and interarrival times."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

import numpy as np

if TYPE_CHECKING:
    from loomyard_standins.benches.account_plan import AccountPlan

COST_SIGMA = 0.8
MAX_OVER_MEAN = 6.0
MIN_TOKENS = 2
MIN_SECONDS = 0.002
HINT_FACTOR = 4.0
HINT_PROBABILITY = 0.7
MEAN_PROMPT_TOKENS = 24


class Draws:
    """Random draws of one account; they depend on the seed and the account name only."""

    def __init__(self, plan: AccountPlan, seed: int) -> None:
        self._plan = plan
        self._rng = np.random.default_rng([seed, zlib.crc32(plan.name.encode())])

    def tokens(self) -> int:
        """Draw the number of tokens of an answer from a clipped lognormal distribution."""
        return max(MIN_TOKENS, round(self._heavy_tailed(self._plan.mean_cost)))

    def seconds(self) -> float:
        """Draw the seconds of a plain call from a clipped lognormal distribution."""
        return max(MIN_SECONDS, self._heavy_tailed(self._plan.mean_cost))

    def prompt_tokens(self) -> int:
        """Draw the number of tokens of a prompt."""
        return max(1, round(self._heavy_tailed(min(MEAN_PROMPT_TOKENS, self._plan.mean_cost))))

    def cost_hint(self, cost: float) -> float | None:
        """Draw a cost hint off by up to HINT_FACTOR either way, or none."""
        if self._rng.random() > HINT_PROBABILITY:
            return None
        return cost * HINT_FACTOR ** self._rng.uniform(-1.0, 1.0)

    def interarrival_seconds(self, rate: float) -> float:
        """Draw the seconds until the next arrival of a Poisson process of ``rate`` per second."""
        return self._rng.exponential(1.0 / rate)

    def position(self, count: int) -> int:
        """Draw a position below ``count``."""
        return int(self._rng.integers(count))

    def jitter(self) -> float:
        """Draw a number between 0 and 1, for full jitter."""
        return float(self._rng.random())

    def _heavy_tailed(self, mean: float) -> float:
        # The mean of a lognormal is exp(mu + sigma^2 / 2); clipping lowers it by about 1 %.
        value = mean * np.exp(self._rng.normal(-(COST_SIGMA**2) / 2, COST_SIGMA))
        return float(min(value, MAX_OVER_MEAN * mean))
