"""Judge which client accounts have had their fair share of what engines can do."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from loomyard_router.admission.account_usage import AccountUsage
from loomyard_router.admission.fair_share import find_water_level

if TYPE_CHECKING:
    from collections.abc import Callable

    from loomyard.clock import Clock

# The share moves slowly beside the window; finding it anew for each request would cost for nothing.
JUDGE_SECONDS = 0.1


class ShareJudge:
    """Compare what accounts got lately with their max-min share of a rate.

    ``rate`` gives the tokens a second to be shared, 0 where the configuration states none; then
    no account is beyond its share.
    """

    def __init__(self, clock: Clock, *, window: float, rate: Callable[[], float]) -> None:
        self._clock = clock
        self._window = window
        self._rate = rate
        self._asked = AccountUsage(clock, window)
        self._given = AccountUsage(clock, window)
        self._share = math.inf
        self._judged_at = -math.inf

    def ask(self, account: str, cost: float) -> None:
        """Count work that an account wants, whether it gets it or not."""
        self._asked.add(account, cost)

    def give(self, account: str, cost: float) -> None:
        """Count work that an account gets."""
        self._given.add(account, cost)

    def level(self, account: str) -> float:
        """Return what an account got lately, in tokens."""
        return self._given.level(account)

    def beyond(self, account: str) -> bool:
        """Tell whether an account has had its share."""
        now = self._clock.now()
        if now - self._judged_at >= JUDGE_SECONDS:
            self._judged_at = now
            capacity = self._rate() * self._window
            demands = self._asked.levels()
            self._share = find_water_level(demands, capacity) if capacity else math.inf
        return self._given.level(account) > self._share
