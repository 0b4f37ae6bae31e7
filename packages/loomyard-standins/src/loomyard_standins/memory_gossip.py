"""Gossip between routers in one process."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class MemoryGossip:
    """Deliver announcements to all joined routers but the sender; hold them while ``cut``."""

    def __init__(self) -> None:
        self.cut = False
        self.announced: list[tuple[str, str, int]] = []
        self._members: list[GossipMember] = []
        self._held: list[tuple[GossipMember, str, str, int]] = []

    def join(self) -> GossipMember:
        """Make the gossip of a router."""
        member = GossipMember(self)
        self._members.append(member)
        return member

    def spread(self, sender: GossipMember, topic: str, key: str, value: int) -> None:
        """Deliver an announcement, or hold it."""
        self.announced.append((topic, key, value))
        if self.cut:
            self._held.append((sender, topic, key, value))
            return
        for member in self._members:
            if member is not sender:
                member.hear(topic, key, value)

    def heal(self, *, backwards: bool = False) -> None:
        """Deliver what was held, perhaps in reverse order."""
        self.cut = False
        held, self._held = self._held, []
        for sender, topic, key, value in reversed(held) if backwards else held:
            self.spread(sender, topic, key, value)


class GossipMember:
    """The gossip of one router."""

    def __init__(self, network: MemoryGossip) -> None:
        self._network = network
        self._handlers: defaultdict[str, list[Callable[[str, int], None]]] = defaultdict(list)

    def announce(self, topic: str, key: str, value: int, *, until: float) -> None:
        self._network.spread(self, topic, key, value)

    def subscribe_topic(self, topic: str, heard: Callable[[str, int], None]) -> None:
        self._handlers[topic].append(heard)

    def hear(self, topic: str, key: str, value: int) -> None:
        """Give an announcement to the handlers."""
        for handler in self._handlers[topic]:
            handler(key, value)
