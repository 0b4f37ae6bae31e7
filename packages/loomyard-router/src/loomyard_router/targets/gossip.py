"""What the targets need of the gossip between routers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable


class Gossip(Protocol):
    """Spread small values to every router; late, doubled and reordered, but in the end."""

    def announce(self, topic: str, key: str, value: bytes) -> None:
        """Spread the value of a key of a topic."""

    def subscribe_topic(self, topic: str, heard: Callable[[str, bytes], None]) -> None:
        """Call back with each key and value that peers announce."""


class NoGossip:
    """Reach nobody."""

    def announce(self, topic: str, key: str, value: bytes) -> None:
        pass

    def subscribe_topic(self, topic: str, heard: Callable[[str, bytes], None]) -> None:
        pass
