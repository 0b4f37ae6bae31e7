"""Granting of free slots to waiting requests."""

from __future__ import annotations

from collections import defaultdict
from heapq import heapify, heappop, heappush
from typing import TYPE_CHECKING

from loomyard_router.shares.reporting_router import PendingGrant

if TYPE_CHECKING:
    from loomyard_router.shares.capacity import Capacity
    from loomyard_router.shares.demands import Demand, Demands


def grant_demands(demands: Demands, free: dict[bytes, int], capacity: Capacity) -> None:
    """Grant free slots, each to the account with the lowest level, counting granted estimates.

    Starved demands are served before all others, with one slot each. ``free`` is updated.
    """
    granted: defaultdict[bytes, float] = defaultdict(float)
    found = [d for waiting in demands.by_service.values() for d in waiting if d.unmet > 0]
    heap = [(not d.starved, d.level, number, 0) for number, d in enumerate(found)]
    heapify(heap)
    while heap:
        regular, level, number, served = heappop(heap)
        demand = found[number]
        current = demand.level + granted[demand.account]
        if current > level:
            heappush(heap, (regular, current, number, served))
        elif _grant(demand, free, capacity):
            granted[demand.account] += max(1, demand.estimate)
            if served + 1 < demand.unmet:
                heappush(heap, (True, level, number, served + 1))


def _grant(demand: Demand, free: dict[bytes, int], capacity: Capacity) -> bool:
    allowed = capacity.targets(demand.account, demand.service)
    target = max(allowed, key=lambda t: free.get(t, 0), default=None)
    if target is None or free.get(target, 0) <= 0:
        return False
    free[target] -= 1
    router = demand.router
    router.grant(target, router.granted(target) + 1)
    router.pending.append(PendingGrant(router.next_reply, demand.account, demand.service))
    return True
