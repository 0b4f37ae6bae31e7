"""Recall of slots for starved requests at routers that hold none."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from loomyard_router.shares.capacity import Capacity
    from loomyard_router.shares.demands import Demand, Demands
    from loomyard_router.shares.reporting_router import ReportingRouter

# Minimum seconds between two slots recalled for one account and service.
RECALL_INTERVAL = 2.0


class StarvationRecall:
    """Take one slot from the router that holds the most, so that no account waits indefinitely."""

    def __init__(self) -> None:
        self._recalled_at: dict[tuple[bytes, bytes], float] = {}

    def apply(
        self,
        demands: Demands,
        routers: Iterable[ReportingRouter],
        capacity: Capacity,
        now: float,
    ) -> None:
        """Recall a slot for each starved demand whose router holds none that it may use."""
        holders = list(routers)
        for found in demands.by_service.values():
            for demand in found:
                if demand.starved and demand.unmet > 0:
                    self._recall(demand, holders, capacity, now)

    def _recall(
        self, demand: Demand, holders: list[ReportingRouter], capacity: Capacity, now: float
    ) -> None:
        key = demand.account, demand.service
        targets = capacity.targets(demand.account, demand.service)
        if not targets or any(demand.router.granted(target) for target in targets):
            return
        if now < self._recalled_at.get(key, float("-inf")) + RECALL_INTERVAL:
            return
        held = [(holder.granted(t), holder.name, t, holder) for holder in holders for t in targets]
        slots, _, target, holder = max(held, key=lambda item: item[:3])
        if slots:
            holder.grant(target, slots - 1)
            self._recalled_at[key] = now
