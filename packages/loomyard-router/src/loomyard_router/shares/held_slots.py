"""Slots that this router holds by lease, and slots in use."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from loomyard_router.shares.messages import SlotReport

if TYPE_CHECKING:
    from collections.abc import Iterable


class HeldSlots:
    """Slot limits by target under one lease, which ends at ``lease_until`` (monotonic seconds)."""

    def __init__(self) -> None:
        self.lease_until = float("-inf")
        self._limits: dict[bytes, int] = {}
        self._in_use: Counter[bytes] = Counter()

    def is_valid(self, now: float) -> bool:
        """Return whether the lease is valid."""
        return now < self.lease_until

    def free(self, now: float) -> dict[bytes, int]:
        """Return the free slots by target, without targets that have none."""
        if not self.is_valid(now):
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
        """Set the number of slots of a target that the allocator granted."""
        if limit:
            self._limits[target] = limit
        else:
            self._limits.pop(target, None)

    def return_slots(self, target: bytes, slots: int = 1) -> None:
        """Lower the limit of a target; the next report tells the allocator."""
        self.set_limit(target, max(0, self._limits.get(target, 0) - slots))

    def acquire(self, target: bytes) -> None:
        """Count a slot as in use."""
        self._in_use[target] += 1

    def release(self, target: bytes) -> None:
        """Count a slot as no longer in use."""
        self._in_use[target] -= 1
        if not self._in_use[target]:
            del self._in_use[target]

    def clear_limits(self) -> None:
        """Remove all limits, at the end of the lease."""
        self._limits.clear()

    def report(self, known: Iterable[bytes]) -> dict[bytes, SlotReport]:
        """Return the slots of targets held, in use or ``known`` from earlier reports."""
        targets = {*self._limits, *self._in_use, *known}
        return {target: self._report(target) for target in targets}

    def _report(self, target: bytes) -> SlotReport:
        limit = self._limits.get(target, 0)
        return SlotReport(limit, max(0, self._in_use[target] - limit))
