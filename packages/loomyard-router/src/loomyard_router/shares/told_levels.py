"""What the allocator told a router of levels elsewhere, carried on to the present."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from loomyard_router.shares.messages import Elsewhere, ShareReply

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
        self._elsewhere: dict[bytes, tuple[Elsewhere, float]] = {}

    def __contains__(self, service: bytes) -> bool:
        return service in self._elsewhere

    def __len__(self) -> int:
        return len(self._elsewhere)

    def floor(self, now: float) -> float:
        """Return the floor, as far as known."""
        return self._floor + self._rate * min(MOST_CARRIED, now - self._told_at)

    def excess(self, service: bytes, level: float, now: float) -> float:
        """Return by how many margins a level is more than the margin above the neediest's."""
        if service not in self._elsewhere:
            return 0.0
        elsewhere, told_at = self._elsewhere[service]
        lowest = elsewhere.level + elsewhere.rate * min(MOST_CARRIED, now - told_at)
        return (level - lowest) / max(1, elsewhere.margin) - 1.0

    def accept(self, reply: ShareReply, now: float) -> None:
        """Take over a reply."""
        self.known = True
        self._told_at = now
        self._floor = reply.floor
        self._rate = reply.floor_rate
        self.margin = reply.margin
        for service, elsewhere in reply.lowest.items():
            if elsewhere is None:
                self._elsewhere.pop(service, None)
            else:
                self._elsewhere[service] = elsewhere, now

    def clear(self) -> None:
        """Forget what waits elsewhere."""
        self._elsewhere.clear()
