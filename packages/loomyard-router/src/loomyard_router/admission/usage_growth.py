"""Rate at which other routers grant work to client accounts, from successive replies."""

from __future__ import annotations

import math
from collections.abc import Mapping

from attrs import define, field

# A reply may repeat the one before, so the rate is that of several replies.
RATE_SECONDS = 0.5


@define(eq=False)
class UsageGrowth:
    """Growth of the usage that accounts have at other routers.

    What a router knows of others is as old as the reports and replies that brought it, while it
    knows its own usage at once. Without an estimate of what was granted since, an account whose
    callers use all routers counts for less than one whose callers use this router. ``window`` is
    that of the usage, in seconds.
    """

    window: float
    _rates: dict[str, float] = field(factory=dict)
    _usage: Mapping[str, float] = field(factory=dict)
    _updated_at: float = -math.inf

    def record(self, usage: Mapping[str, float], now: float) -> None:
        """Record the usage of accounts at other routers, in tokens, as a reply tells it."""
        elapsed = now - self._updated_at
        if elapsed > 0.0:
            self._rates = {
                account: self._update_rate(account, tokens, elapsed)
                for account, tokens in usage.items()
                if account in self._usage
            }
        self._usage, self._updated_at = usage, now

    def per_second(self, account: str) -> float:
        """Return the tokens a second that other routers lately granted to an account."""
        return self._rates.get(account, 0.0)

    def _update_rate(self, account: str, tokens: float, elapsed: float) -> float:
        remaining = self._usage[account] * math.exp(-elapsed / self.window)
        latest = max(0.0, tokens - remaining) / elapsed
        rate = self._rates.get(account, 0.0)
        return rate + (1.0 - math.exp(-elapsed / RATE_SECONDS)) * (latest - rate)
