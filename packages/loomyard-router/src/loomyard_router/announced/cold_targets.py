"""How much work targets bear that are cold."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from loomyard.clock import Clock
    from loomyard_router.announced.announced_target import AnnouncedTarget
    from loomyard_router.announced.target_registry import TargetRegistry
    from loomyard_router.routes.table_holder import TableHolder

# The part of what a cold target bears that one keeper of its places gives away. For a moment two
# routers may keep one target, and a target falls over at well above what it bears, so both together
# give half more than that at most.
KEEPER_PART = 0.75
UNLIMITED = 0.0


class ColdTargets:
    """Tell how many requests a second a target may get from the whole fleet.

    A target says itself for how long it is cold. One of a data centre that was just taken back may
    have turned cold meanwhile and be heard of that later than of the order's end, so it counts as
    cold for as long as its service takes to get warm.
    """

    def __init__(self, clock: Clock, registry: TargetRegistry, holder: TableHolder) -> None:
        self._clock = clock
        self._registry = registry
        self._holder = holder

    def rate_limit(self, target: AnnouncedTarget) -> float:
        """Return the requests a second that one keeper may give, ``WARM`` where nothing bounds."""
        table = self._holder.table
        terms = None if table is None else table.services.get(target.service)
        if terms is None or terms.cold_per_second <= 0.0:
            return UNLIMITED
        until = max(
            self._registry.cold_until(target),
            self._registry.reinstated_at(target.data_centre) + terms.cold_seconds,
        )
        return KEEPER_PART * terms.cold_per_second if self._clock.now() < until else UNLIMITED

    def count(self) -> int:
        """Return how many targets are cold."""
        return sum(self.rate_limit(target) != UNLIMITED for target in self._registry.listed())
