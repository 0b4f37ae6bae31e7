"""Estimates of cost, learned for each client account and service."""

from __future__ import annotations

from math import sqrt
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from loomyard.objects import ClientAccount, Service

LAST_COST_WEIGHT = 0.1
# A hint moves the estimate from the mean by at most this factor, as costs have a heavy tail: an
# account lacks what is overcharged at dispatch until the request ends.
MAX_HINT_FACTOR = 2.0


class CostEstimates:
    """Moving averages of settled costs, adjusted by callers' rough hints within bounds."""

    def __init__(self) -> None:
        self._means: dict[tuple[str, str], float] = {}

    def estimate(self, account: ClientAccount, service: Service, hint: float | None) -> float:
        """Return the expected cost in units of the service."""
        key = (account.metadata.name, service.metadata.name)
        mean = self._means.get(key, service.default_cost)
        if hint is None:
            return mean
        return min(mean * MAX_HINT_FACTOR, max(mean / MAX_HINT_FACTOR, sqrt(mean * hint)))

    def record(self, account: ClientAccount, service: Service, cost: float) -> None:
        """Update the moving average with a settled cost."""
        key = (account.metadata.name, service.metadata.name)
        mean = self._means.get(key)
        if mean is None:
            self._means[key] = cost
        else:
            self._means[key] = mean + LAST_COST_WEIGHT * (cost - mean)
