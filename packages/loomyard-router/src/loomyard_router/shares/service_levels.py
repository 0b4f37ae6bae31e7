"""Lowest waiting level of each service, its growth, and the margin for holding slots."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loomyard_router.shares.messages import RemoteLowest
from loomyard_router.shares.min_level import MinLevel

if TYPE_CHECKING:
    from loomyard_router.shares.demands import Demands

# A router keeps a freed slot while its lowest waiting level exceeds that at the other routers by
# at most the cost of this many mean requests plus the growth of this many seconds.
MARGIN_REQUESTS = 2.0
MARGIN_SECONDS = 0.2


class ServiceLevels:
    """Lowest level by service; accounts that also use other services can be far above it."""

    def __init__(self) -> None:
        self._lowest: dict[bytes, MinLevel] = {}
        self._means: dict[bytes, float] = {}

    def update(self, demands: Demands, now: float) -> None:
        """Update the levels and mean estimates from the present demands."""
        for service in list(self._lowest):
            if service not in demands.by_service:
                del self._lowest[service]
        for service, found in demands.by_service.items():
            lowest = min(demand.level for demand in found)
            self._lowest.setdefault(service, MinLevel()).update(lowest, now)
            self._means[service] = sum(demand.estimate for demand in found) / len(found)

    def margin(self, service: bytes) -> float:
        """Return the margin, in units of levels, of a service for which requests wait."""
        growth = MARGIN_SECONDS * self._lowest[service].rate
        return MARGIN_REQUESTS * self._means[service] + growth

    def remote_lowest(self, service: bytes, lowest: float, factor: float) -> RemoteLowest:
        """Return the message entry for ``lowest``, its rate, and the margin times ``factor``."""
        rate = round(self._lowest[service].rate)
        return RemoteLowest(round(lowest), rate, round(factor * self.margin(service)))
