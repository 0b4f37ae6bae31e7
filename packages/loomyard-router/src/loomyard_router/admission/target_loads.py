"""Requests of this router that run at each target, and its quota of the slots there."""

from __future__ import annotations

import math
from collections import Counter, deque
from typing import TYPE_CHECKING

from gevent.event import AsyncResult

from loomyard_router.admission.cold_limiter import ColdLimiter

if TYPE_CHECKING:
    from collections.abc import Callable

    from loomyard.clock import Clock
    from loomyard_router.announced.announced_target import AnnouncedTarget
    from loomyard_router.announced.target_incarnation import TargetLife

# Routers are not equally loaded, so their quotas of a target add up to more than its slots.
OVERCOMMITMENT = 1.3
MIN_SLOTS = 2


class TargetLoads:
    """Running requests of this router by target, bounded by a quota of the target's slots.

    ``routers`` returns how many live routers share the targets.
    """

    def __init__(self, routers: Callable[[], int]) -> None:
        self._routers = routers
        self._running: Counter[TargetLife] = Counter()
        self._waiting: deque[AsyncResult] = deque()
        self._cold_limiters: dict[TargetLife, ColdLimiter] = {}

    def running(self, target: AnnouncedTarget) -> int:
        """Return how many requests of this router run at a target."""
        return self._running[target.incarnation]

    def quota(self, target: AnnouncedTarget) -> int:
        """Return how many requests of this router may run at a target."""
        part = OVERCOMMITMENT * target.slots / max(1, self._routers())
        return max(MIN_SLOTS, math.ceil(part))

    def has_free_slot(self, target: AnnouncedTarget) -> bool:
        return self._running[target.incarnation] < self.quota(target)

    def use_quota(self, target: AnnouncedTarget, cold_rate: float, now: float) -> bool:
        """Take one request from this router's quota of a target; false where none is left.

        ``cold_rate`` is how many requests a second a cold target may get, 0 for a warm one; this
        router may use its part of that rate.
        """
        if not self.has_free_slot(target):
            return False
        limiter = self._cold_limiters.setdefault(target.incarnation, ColdLimiter())
        limiter.per_second = cold_rate / max(1, self._routers())
        if not limiter.admits(now):
            return False
        limiter.spend()
        return True

    def retain(self, known: set[TargetLife]) -> None:
        """Drop the cold limiters of all other incarnations."""
        for incarnation in set(self._cold_limiters) - known:
            del self._cold_limiters[incarnation]

    def record_start(self, target: AnnouncedTarget) -> None:
        """Count a request that starts."""
        self._running[target.incarnation] += 1

    def record_end(self, target: AnnouncedTarget) -> None:
        """Count a request that ended, and wake the first one that waits."""
        self._running[target.incarnation] -= 1
        if self._running[target.incarnation] <= 0:
            del self._running[target.incarnation]
        if self._waiting:
            self._waiting.popleft().set(True)

    def wait(self, deadline: float, clock: Clock) -> bool:
        """Wait in arrival order until a request of this router ends; false at the deadline."""
        ended: AsyncResult = AsyncResult()
        self._waiting.append(ended)
        ended.wait(timeout=max(0.0, deadline - clock.now()))
        if ended.ready():
            return True
        self._waiting.remove(ended)
        return False
