"""Count of the slots leased to a router."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from loomyard_router.shares.policy import SharePolicy


class SlotMoves:
    """Count the slots that the allocator leases to a router under the ``fleet`` policy."""

    def __init__(self, policy: SharePolicy) -> None:
        self.count = 0
        if (held_slots := getattr(policy, "_held", None)) is not None:
            self._watch(held_slots)

    def _watch(self, held_slots: Any) -> None:
        set_limit = held_slots.set_limit

        def set_limit_counted(target: bytes, limit: int) -> None:
            self.count += max(0, limit - held_slots.limit(target))
            set_limit(target, limit)

        held_slots.set_limit = set_limit_counted
