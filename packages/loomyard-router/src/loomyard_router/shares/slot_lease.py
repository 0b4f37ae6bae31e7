"""Slots of one target leased to one router, as the allocator sees them."""

from __future__ import annotations

from attrs import define


@define
class SlotLease:
    """Slots of one target at one router.

    ``granted`` is what the router may keep; ``told_in`` is the last reply that told it, since
    one that tells it again undoes what the router gave back meanwhile. A router that has not
    acknowledged a lower grant yet may still use ``ceiling`` slots.
    """

    granted: int = 0
    told_in: int = 0
    limit: int = 0
    excess: int = 0
    ceiling: int = 0
    ceiling_in: int = 0

    @property
    def committed(self) -> int:
        """Return how many slots the router may be using."""
        return max(self.granted, self.ceiling, self.limit + self.excess)

    def change(self, granted: int, sequence: int) -> None:
        """Grant another number of slots with the reply ``sequence``."""
        if granted < self.granted:
            self.ceiling = max(self.ceiling, self.granted)
            self.ceiling_in = sequence
        self.granted = granted
        self.told_in = sequence

    def acknowledge(self, sequence: int) -> bool:
        """Take in that the router had applied a reply; true where it gave slots back."""
        if sequence >= self.ceiling_in:
            self.ceiling = 0
        if sequence >= self.told_in and self.limit < self.granted:
            self.granted = self.limit
            return True
        return False
