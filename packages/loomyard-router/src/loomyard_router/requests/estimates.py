"""Estimates of cost, learned for each client account and service."""

from __future__ import annotations

from math import sqrt
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from loomyard.objects import ClientAccount, Service

WEIGHT_OF_LAST = 0.1
# A hint moves the estimate from the mean by at most this factor, since costs have a heavy tail:
# what is charged too much at dispatch is missing to the account until the request ends.
MOST_OVER_MEAN = 2.0


class CostEstimates:
    """A moving average of settled costs, which rough hints move within bounds."""

    def __init__(self) -> None:
        self._means: dict[tuple[str, str], float] = {}

    def estimate(self, account: ClientAccount, service: Service, hint: float | None) -> float:
        """Return the expected cost in units of the service."""
        key = (account.metadata.name, service.metadata.name)
        mean = self._means.get(key, service.default_cost)
        if hint is None:
            return mean
        return min(mean * MOST_OVER_MEAN, max(mean / MOST_OVER_MEAN, sqrt(mean * hint)))

    def record(self, account: ClientAccount, service: Service, cost: float) -> None:
        """Take a settled cost in."""
        key = (account.metadata.name, service.metadata.name)
        mean = self._means.get(key)
        if mean is None:
            self._means[key] = cost
        else:
            self._means[key] = mean + WEIGHT_OF_LAST * (cost - mean)
