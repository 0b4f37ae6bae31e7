"""What the allocator told a router of levels elsewhere, carried on to the present."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from loomyard_router.shares.messages import ShareReply

# What was told is carried on at the told rate for at most this long.
MOST_CARRIED = 2.0


class ToldLevels:
    """The floor, its growth, and the neediest level that waits for each service elsewhere."""

    def __init__(self) -> None:
        self.margin = 0
        self.known = False
        self._floor = 0
        self._rate = 0
        self._told_at = 0.0
        self._above_floor: dict[bytes, int] = {}

    def __contains__(self, service: bytes) -> bool:
        return service in self._above_floor

    def __len__(self) -> int:
        return len(self._above_floor)

    def floor(self, now: float) -> float:
        """Return the floor, as far as known."""
        return self._floor + self._rate * min(MOST_CARRIED, now - self._told_at)

    def lowest(self, service: bytes, now: float) -> float | None:
        """Return the least level that waits elsewhere for a service."""
        above = self._above_floor.get(service)
        return None if above is None else self.floor(now) + above

    def accept(self, reply: ShareReply, now: float) -> None:
        """Take over a reply."""
        self.known = True
        self._told_at = now
        self._floor = reply.floor
        self._rate = reply.floor_rate
        self.margin = reply.margin
        for service, above in reply.lowest.items():
            if above is None:
                self._above_floor.pop(service, None)
            else:
                self._above_floor[service] = above

    def clear(self) -> None:
        """Forget what waits elsewhere."""
        self._above_floor.clear()
