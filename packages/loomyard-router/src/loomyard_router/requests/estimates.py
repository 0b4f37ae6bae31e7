"""Estimates of cost, learned for each client account and service."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from loomyard.objects import ClientAccount, Service

WEIGHT_OF_LAST = 0.2


class CostEstimates:
    """A moving average of settled costs; rough hints count as much as what was learned."""

    def __init__(self) -> None:
        self._means: dict[tuple[str, str], float] = {}

    def estimate(self, account: ClientAccount, service: Service, hint: float | None) -> float:
        """Return the expected cost in units of the service."""
        key = (account.metadata.name, service.metadata.name)
        mean = self._means.get(key, service.default_cost)
        return mean if hint is None else (mean + hint) / 2

    def learn(self, account: ClientAccount, service: Service, cost: float) -> None:
        """Take a settled cost in."""
        key = (account.metadata.name, service.metadata.name)
        mean = self._means.get(key)
        if mean is None:
            self._means[key] = cost
        else:
            self._means[key] = mean + WEIGHT_OF_LAST * (cost - mean)
