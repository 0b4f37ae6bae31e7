"""The choice of the request and the target for a free slot."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loomyard_router.shares.short_ids import short_id
from loomyard_router.targets.choosing import choose as choose_target

if TYPE_CHECKING:
    from loomyard_router.shares.account_levels import AccountLevels
    from loomyard_router.shares.capacity import Capacity
    from loomyard_router.shares.overdue import Overdue
    from loomyard_router.shares.request_queues import RequestQueues
    from loomyard_router.shares.waiting import WaitingRequest
    from loomyard_router.targets.directory import TargetDirectory

NO_MARGIN = 1.0


class SlotChoice:
    """Choose the neediest request that a free slot can serve, and the slot for it."""

    def __init__(
        self,
        *,
        queues: RequestQueues,
        levels: AccountLevels,
        overdue: Overdue,
        capacity: Capacity,
        directory: TargetDirectory,
    ) -> None:
        self._queues = queues
        self._levels = levels
        self._overdue = overdue
        self._capacity = capacity
        self._directory = directory

    def find_neediest(self, free: dict[bytes, int], now: float) -> WaitingRequest | None:
        """Return the request to admit next to one of the free slots."""
        best: WaitingRequest | None = None
        least = (True, float("inf"))
        for service in self._queues.services:
            queues = self._queues.of(service)
            assert queues is not None
            for name in queues.accounts:
                head = queues.head(name)
                rank = not self._overdue.applies(head, now), self._levels.level(short_id(name))
                if rank < least and any(self.is_usable(t, head) for t in free):
                    best, least = head, rank
        return best

    def choose_target(self, waiting: WaitingRequest, free: dict[bytes, int]) -> bytes:
        """Return the target of a request that one of the free slots can serve."""
        usable = {t: free[t] for t in free if self.is_usable(t, waiting)}
        if not waiting.prefix:
            return max(usable, key=usable.__getitem__)
        # Free slots of one lease cost the balance nothing, whichever is used.
        candidates = [self._capacity.candidate(t, slots) for t, slots in usable.items()]
        chosen = choose_target(candidates, waiting.prefix, self._directory, margin=NO_MARGIN)
        assert chosen is not None
        return short_id(chosen.metadata.name)

    def is_usable(self, target: bytes, waiting: WaitingRequest) -> bool:
        """Tell whether a target can serve a request now."""
        service = waiting.service.metadata.name
        return target in waiting.targets_by_id and self._capacity.usable(target, service)
