"""The least level that waits for each service, how fast it grows, and the margin of slots."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loomyard_router.shares.floor_level import FloorLevel
from loomyard_router.shares.messages import Elsewhere

if TYPE_CHECKING:
    from loomyard_router.shares.demands import Demands

# A router keeps a freed slot while its neediest account is within this many mean requests, and
# the growth of this many seconds, of the neediest elsewhere.
MARGIN_REQUESTS = 2.0
MARGIN_SECONDS = 0.2


class ServiceLevels:
    """Levels by service; accounts that use other services too can be far above the floor."""

    def __init__(self) -> None:
        self._lowest: dict[bytes, FloorLevel] = {}
        self._means: dict[bytes, float] = {}

    def note(self, demands: Demands, now: float) -> None:
        """Take in what waits now."""
        for service in list(self._lowest):
            if service not in demands.by_service:
                del self._lowest[service]
        for service, found in demands.by_service.items():
            lowest = min(demand.level for demand in found)
            self._lowest.setdefault(service, FloorLevel()).note(lowest, now)
            self._means[service] = sum(demand.estimate for demand in found) / len(found)

    def margin(self, service: bytes) -> float:
        """Return the margin of a service for which requests wait."""
        growth = MARGIN_SECONDS * self._lowest[service].rate
        return MARGIN_REQUESTS * self._means[service] + growth

    def elsewhere(self, service: bytes, lowest: float, stretch: float) -> Elsewhere:
        """Return what to tell a router of the least level at the others."""
        rate = round(self._lowest[service].rate)
        return Elsewhere(round(lowest), rate, round(stretch * self.margin(service)))
