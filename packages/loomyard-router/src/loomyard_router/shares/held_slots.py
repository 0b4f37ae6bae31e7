"""Slots that this router holds by lease, and those in use."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from loomyard_router.shares.messages import SlotReport

if TYPE_CHECKING:
    from collections.abc import Iterable


class HeldSlots:
    """Limits of targets under one lease, which ends at ``lease_until`` of the monotonic clock."""

    def __init__(self) -> None:
        self.lease_until = float("-inf")
        self._limits: dict[bytes, int] = {}
        self._in_use: Counter[bytes] = Counter()

    def valid(self, now: float) -> bool:
        """Tell whether the lease still holds."""
        return now < self.lease_until

    def free(self, now: float) -> dict[bytes, int]:
        """Return the free slots by target, targets without any left out."""
        if not self.valid(now):
            return {}
        in_use = self._in_use
        return {t: limit - in_use[t] for t, limit in self._limits.items() if limit > in_use[t]}

    def limit(self, target: bytes) -> int:
        """Return how many slots of a target are held."""
        return self._limits.get(target, 0)

    def in_use(self, target: bytes) -> int:
        """Return how many slots of a target are in use."""
        return self._in_use[target]

    def set_limit(self, target: bytes, limit: int) -> None:
        """Take over a limit that the allocator told."""
        if limit:
            self._limits[target] = limit
        else:
            self._limits.pop(target, None)

    def give_back(self, target: bytes, slots: int = 1) -> None:
        """Hold fewer slots of a target."""
        self.set_limit(target, max(0, self._limits.get(target, 0) - slots))

    def take(self, target: bytes) -> None:
        """Use a slot."""
        self._in_use[target] += 1

    def release(self, target: bytes) -> None:
        """End the use of a slot."""
        self._in_use[target] -= 1
        if not self._in_use[target]:
            del self._in_use[target]

    def lapse(self) -> None:
        """Drop all limits, since the lease ended."""
        self._limits.clear()

    def report(self, known: Iterable[bytes]) -> dict[bytes, SlotReport]:
        """Return what to report of targets held, in use or ``known`` from earlier reports."""
        targets = {*self._limits, *self._in_use, *known}
        return {target: self._report(target) for target in targets}

    def _report(self, target: bytes) -> SlotReport:
        limit = self._limits.get(target, 0)
        return SlotReport(limit, max(0, self._in_use[target] - limit))
