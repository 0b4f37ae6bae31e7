"""Lease on slots of one target by one router, as the allocator sees it."""

from __future__ import annotations

from attrs import define


@define
class SlotLease:
    """Slots of one target at one router.

    ``granted`` is how many the router may hold; ``sent_in`` is the last reply with that number,
    since a repeated reply overrides slots that the router returned before it arrived. ``limit`` and
    ``excess`` are as reported. Until the router acknowledges the reply ``lowered_in``, which lowers
    the grant, it may still use ``ceiling`` slots.
    """

    granted: int = 0
    sent_in: int = 0
    limit: int = 0
    excess: int = 0
    ceiling: int = 0
    lowered_in: int = 0

    @property
    def committed(self) -> int:
        """Return how many slots the router may be using."""
        return max(self.granted, self.ceiling, self.limit + self.excess)

    def set_granted(self, granted: int, sequence: int) -> None:
        """Set the number of granted slots, to be sent in the reply ``sequence``."""
        if granted < self.granted:
            self.ceiling = max(self.ceiling, self.granted)
            self.lowered_in = sequence
        self.granted = granted
        self.sent_in = sequence

    def acknowledge(self, sequence: int) -> bool:
        """Record that the router applied a reply; return whether it has returned slots."""
        if sequence >= self.lowered_in:
            self.ceiling = 0
        if sequence >= self.sent_in and self.limit < self.granted:
            self.granted = self.limit
            return True
        return False
