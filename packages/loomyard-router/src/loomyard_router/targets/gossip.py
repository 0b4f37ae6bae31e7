"""The protocol of the gossip between routers, as the target directory uses it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable


class Gossip(Protocol):
    """Disseminates small integers to every router; implemented by ``Membership``."""

    def announce(self, topic: str, key: str, value: int, *, until: float) -> None:
        """Disseminate an item until a clock time (s); the highest value of a key wins."""

    def subscribe_topic(self, topic: str, received: Callable[[str, int], None]) -> None:
        """Call back with key and value of each item received from other routers."""
