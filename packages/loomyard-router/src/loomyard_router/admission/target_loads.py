"""How many requests run at each target, and how many may."""

from __future__ import annotations

import math
from collections import Counter, deque
from typing import TYPE_CHECKING

from gevent.event import AsyncResult

from loomyard_router.admission.cold_rate import ColdRate

if TYPE_CHECKING:
    from collections.abc import Callable

    from loomyard.clock import Clock
    from loomyard_router.announced.announced_target import AnnouncedTarget
    from loomyard_router.announced.target_incarnation import TargetIncarnation

# Routers are not equally loaded, so the parts of a target add up to more than its slots.
OVERCOMMITMENT = 1.3
MIN_SLOTS = 2


class TargetLoads:
    """Requests of this router at each target, bounded by its part of the slots."""

    def __init__(self, routers: Callable[[], int]) -> None:
        self._routers = routers
        self._running: Counter[TargetIncarnation] = Counter()
        self._waiting: deque[AsyncResult] = deque()
        self._cold: dict[TargetIncarnation, ColdRate] = {}

    def running(self, target: AnnouncedTarget) -> int:
        """Return how many requests of this router run at a target."""
        return self._running[target.incarnation]

    def places(self, target: AnnouncedTarget) -> int:
        """Return how many requests of this router may run at a target."""
        part = OVERCOMMITMENT * target.slots / max(1, self._routers())
        return max(MIN_SLOTS, math.ceil(part))

    def has_free_slot(self, target: AnnouncedTarget) -> bool:
        return self._running[target.incarnation] < self.places(target)

    def spend_part(self, target: AnnouncedTarget, cold_rate: float, now: float) -> bool:
        """Take this router's part of a target, if there is room.

        ``cold_rate`` is how many requests a second a cold target may get, 0 for a warm one.
        """
        if not self.has_free_slot(target):
            return False
        rate = self._cold.setdefault(target.incarnation, ColdRate())
        rate.per_second = cold_rate / max(1, self._routers())
        if not rate.admits(now):
            return False
        rate.spend()
        return True

    def forget(self, known: set[TargetIncarnation]) -> None:
        """Forget lives of targets that are not known any more."""
        for life in set(self._cold) - known:
            del self._cold[life]

    def record_start(self, target: AnnouncedTarget) -> None:
        """Count a request that begins."""
        self._running[target.incarnation] += 1

    def record_end(self, target: AnnouncedTarget) -> None:
        """Count a request that ended."""
        self._running[target.incarnation] -= 1
        if self._running[target.incarnation] <= 0:
            del self._running[target.incarnation]
        if self._waiting:
            self._waiting.popleft().set(True)

    def wait(self, deadline: float, clock: Clock) -> bool:
        """Wait until a request of this router ends, in turn; false where none did."""
        turn: AsyncResult = AsyncResult()
        self._waiting.append(turn)
        turn.wait(timeout=max(0.0, deadline - clock.now()))
        if turn.ready():
            return True
        self._waiting.remove(turn)
        return False
