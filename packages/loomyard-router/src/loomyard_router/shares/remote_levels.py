"""Levels at other routers as last received from the allocator, extrapolated to now."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from loomyard_router.shares.messages import RemoteLowest, ShareReply

# Maximum seconds for which a received level is extrapolated at the received rate.
MAX_EXTRAPOLATION = 2.0


class RemoteLevels:
    """The minimum level of the fleet, and the lowest level waiting elsewhere for each service."""

    def __init__(self) -> None:
        self.margin = 0
        self.known = False
        self._min_level = 0
        self._rate = 0
        self._received_at = 0.0
        self._lowest: dict[bytes, tuple[RemoteLowest, float]] = {}

    def __contains__(self, service: bytes) -> bool:
        return service in self._lowest

    def __len__(self) -> int:
        return len(self._lowest)

    def min_level(self, now: float) -> float:
        """Return the minimum level, 0 before the first reply."""
        return self._min_level + self._rate * min(MAX_EXTRAPOLATION, now - self._received_at)

    def excess(self, service: bytes, level: float, now: float) -> float:
        """Return how far a level is above the lowest elsewhere plus the margin, in margins."""
        if service not in self._lowest:
            return 0.0
        remote, received_at = self._lowest[service]
        lowest = remote.level + remote.rate * min(MAX_EXTRAPOLATION, now - received_at)
        return (level - lowest) / max(1, remote.margin) - 1.0

    def accept(self, reply: ShareReply, now: float) -> None:
        """Store the levels and the margin of a reply."""
        self.known = True
        self._received_at = now
        self._min_level = reply.min_level
        self._rate = reply.min_level_rate
        self.margin = reply.margin
        for service, remote in reply.lowest.items():
            if remote is None:
                self._lowest.pop(service, None)
            else:
                self._lowest[service] = remote, now

    def clear(self) -> None:
        """Remove the levels waiting elsewhere."""
        self._lowest.clear()
