"""What the targets need of the gossip between routers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable


class Gossip(Protocol):
    """Spread small numbers to every router; ``Membership`` does."""

    def announce(self, topic: str, key: str, value: int, *, until: float) -> None:
        """Spread a small item to all routers; the highest value of a key wins."""

    def subscribe_topic(self, topic: str, heard: Callable[[str, int], None]) -> None:
        """Call back with key and value of each item learned from others."""
