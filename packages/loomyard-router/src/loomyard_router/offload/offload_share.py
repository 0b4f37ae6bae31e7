"""The share of new connections that a lagging router passes on."""

from __future__ import annotations

import math
import random
from collections.abc import Callable

from attrs import define

from loomyard.clock import Clock

# Seconds in which the share rises from nothing to all while the router lags, and in which it falls
# back while it does not. It rises faster, since each connection served here delays all others.
RISE_SECONDS = 0.5
FALL_SECONDS = 2.0
# What a decision counts for at most, so that a pause between two of them is no lag.
MAX_STEP_SECONDS = 0.1


@define(eq=False)
class OffloadShare:
    """Raise the share while the router lags and lower it while it does not.

    Serving a request costs several times what passing it on does, so a router that served some of
    the requests whenever it had caught up would go on lagging.
    """

    clock: Clock
    is_lagging: Callable[[], bool]
    rng: random.Random
    share: float = 0.0
    _updated_at: float = -math.inf

    def draw(self) -> bool:
        """Tell whether to pass on the next connection."""
        now = self.clock.now()
        step = min(MAX_STEP_SECONDS, now - self._updated_at)
        self._updated_at = now
        if self.is_lagging():
            self.share = min(1.0, self.share + step / RISE_SECONDS)
        else:
            self.share = max(0.0, self.share - step / FALL_SECONDS)
        return self.share > 0.0 and self.rng.random() < self.share
