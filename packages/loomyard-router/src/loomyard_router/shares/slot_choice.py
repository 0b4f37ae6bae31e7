"""Choice of a request and a target for a free slot."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loomyard_router.shares.short_ids import short_id
from loomyard_router.targets.choosing import choose as choose_target

if TYPE_CHECKING:
    from loomyard_router.shares.account_levels import AccountLevels
    from loomyard_router.shares.capacity import Capacity
    from loomyard_router.shares.request_queues import RequestQueues
    from loomyard_router.shares.starvation_tracker import StarvationTracker
    from loomyard_router.shares.waiting import WaitingRequest
    from loomyard_router.targets.directory import TargetDirectory

# Admits candidates with any fraction of free slots.
UNBOUNDED_MARGIN = 1.0


class SlotChoice:
    """Choose the request to admit next to a free slot, and the slot for it."""

    def __init__(
        self,
        *,
        queues: RequestQueues,
        levels: AccountLevels,
        starvation: StarvationTracker,
        capacity: Capacity,
        directory: TargetDirectory,
    ) -> None:
        self._queues = queues
        self._levels = levels
        self._starvation = starvation
        self._capacity = capacity
        self._directory = directory

    def find_next(self, free: dict[bytes, int], now: float) -> WaitingRequest | None:
        """Return the request to admit next to one of the free slots, ``None`` if none can use one.

        Starved requests come first, then those of the account with the lowest level.
        """
        best: WaitingRequest | None = None
        best_rank = (True, float("inf"))
        for service in self._queues.services:
            queues = self._queues.for_service(service)
            assert queues is not None
            for name in queues.accounts:
                head = queues.head(name)
                rank = not self._starvation.is_starved(head, now), self._levels.level(
                    short_id(name)
                )
                if rank < best_rank and any(self.is_usable(t, head) for t in free):
                    best, best_rank = head, rank
        return best

    def choose_target(self, waiting: WaitingRequest, free: dict[bytes, int]) -> bytes:
        """Return the target for a request that at least one of the free slots can serve."""
        usable = {t: free[t] for t in free if self.is_usable(t, waiting)}
        if not waiting.prefix:
            return max(usable, key=usable.__getitem__)
        # All slots are leased already, so cache locality may decide at any imbalance.
        candidates = [self._capacity.candidate(t, slots) for t, slots in usable.items()]
        chosen = choose_target(candidates, waiting.prefix, self._directory, margin=UNBOUNDED_MARGIN)
        assert chosen is not None
        return short_id(chosen.metadata.name)

    def is_usable(self, target: bytes, waiting: WaitingRequest) -> bool:
        """Return whether a target accepts work and is one of the request's targets."""
        service = waiting.service.metadata.name
        return target in waiting.targets_by_id and self._capacity.usable(target, service)
