"""Rate limits of targets after a cold start."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from loomyard.clock import Clock
    from loomyard_router.announced.announced_target import AnnouncedTarget
    from loomyard_router.announced.target_registry import TargetRegistry
    from loomyard_router.routes.route_table_holder import RouteTableHolder

# The fraction of a cold target's rate limit that one slot owner grants. For a moment two routers
# may own the slots of one target; together they then exceed the limit by half at most, which a
# target withstands.
OWNER_FRACTION = 0.75
UNLIMITED = 0.0


class ColdTargets:
    """Limits the requests per second that cold targets get from the whole fleet.

    A target announces for how long it is cold. Targets in a data centre that was just reinstated
    may have become cold meanwhile without that announcement having arrived, so they count as cold
    for the warm-up time of their service.
    """

    def __init__(self, clock: Clock, registry: TargetRegistry, holder: RouteTableHolder) -> None:
        self._clock = clock
        self._registry = registry
        self._holder = holder

    def rate_limit(self, target: AnnouncedTarget) -> float:
        """Return the requests per second that one slot owner may grant, or ``UNLIMITED``."""
        table = self._holder.table
        terms = None if table is None else table.services.get(target.service)
        if terms is None or terms.cold_per_second <= 0.0:
            return UNLIMITED
        until = max(
            self._registry.cold_until(target),
            self._registry.reinstated_at(target.data_centre) + terms.cold_seconds,
        )
        return OWNER_FRACTION * terms.cold_per_second if self._clock.now() < until else UNLIMITED

    def count(self) -> int:
        """Return how many listed targets are cold."""
        return sum(self.rate_limit(target) != UNLIMITED for target in self._registry.listed())
