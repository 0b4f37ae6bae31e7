"""Seeded draws of costs, hints and gaps between arrivals."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

import numpy as np

if TYPE_CHECKING:
    from loomyard_standins.benches.account_plan import AccountPlan

COST_SIGMA = 0.8
LARGEST_OVER_MEAN = 6.0
SMALLEST_TOKENS = 2
SMALLEST_SECONDS = 0.002
HINT_FACTOR = 4.0
HINTED_SHARE = 0.7
MEAN_PROMPT_TOKENS = 24


class Draws:
    """The draws of one account; equal for equal seeds, whatever the other accounts do."""

    def __init__(self, plan: AccountPlan, seed: int) -> None:
        self._plan = plan
        self._random = np.random.default_rng([seed, zlib.crc32(plan.name.encode())])

    def tokens(self) -> int:
        """Return the tokens of an answer, heavy-tailed."""
        return max(SMALLEST_TOKENS, round(self._heavy_tailed(self._plan.mean_cost)))

    def seconds(self) -> float:
        """Return the seconds of a plain call, heavy-tailed."""
        return max(SMALLEST_SECONDS, self._heavy_tailed(self._plan.mean_cost))

    def prompt_tokens(self) -> int:
        """Return the tokens of a prompt."""
        return max(1, round(self._heavy_tailed(min(MEAN_PROMPT_TOKENS, self._plan.mean_cost))))

    def hint_of(self, cost: float) -> float | None:
        """Return a hint that is off by up to a factor either way, or none."""
        if self._random.random() > HINTED_SHARE:
            return None
        return cost * HINT_FACTOR ** self._random.uniform(-1.0, 1.0)

    def gap(self, rate: float) -> float:
        """Return the seconds until the next arrival of a Poisson process."""
        return self._random.exponential(1.0 / rate)

    def choice(self, count: int) -> int:
        """Return one of a number of positions."""
        return int(self._random.integers(count))

    def fraction(self) -> float:
        """Return a number between 0 and 1, for full jitter."""
        return float(self._random.random())

    def _heavy_tailed(self, mean: float) -> float:
        # The mean of a lognormal is exp(mu + sigma^2 / 2); the clip takes about 1 % off it.
        value = mean * np.exp(self._random.normal(-(COST_SIGMA**2) / 2, COST_SIGMA))
        return float(min(value, LARGEST_OVER_MEAN * mean))
