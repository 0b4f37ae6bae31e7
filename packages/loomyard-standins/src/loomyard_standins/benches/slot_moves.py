"""Count of the slots leased to a router."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from loomyard_router.shares.policy import SharePolicy


class SlotMoves:
    """Count the slots that the allocator leases to a router under the ``fleet`` policy."""

    def __init__(self, policy: SharePolicy) -> None:
        self.count = 0
        if (held := getattr(policy, "_held", None)) is not None:
            self._watch(held)

    def _watch(self, held: Any) -> None:
        set_limit = held.set_limit

        def counted(target: bytes, limit: int) -> None:
            self.count += max(0, limit - held.limit(target))
            set_limit(target, limit)

        held.set_limit = counted
