"""Gossip between routers in one process."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class MemoryGossip:
    """Delivers announcements to all routers but the sender; queues them while ``cut``."""

    def __init__(self) -> None:
        self.cut = False
        self.announced: list[tuple[str, str, int]] = []
        self._members: list[GossipMember] = []
        self._held: list[tuple[GossipMember, str, str, int]] = []

    def join(self) -> GossipMember:
        """Add a router and return its gossip."""
        member = GossipMember(self)
        self._members.append(member)
        return member

    def broadcast(self, sender: GossipMember, topic: str, key: str, value: int) -> None:
        """Deliver an announcement to all other routers, or queue it while cut."""
        self.announced.append((topic, key, value))
        if self.cut:
            self._held.append((sender, topic, key, value))
            return
        for member in self._members:
            if member is not sender:
                member.deliver(topic, key, value)

    def heal(self, *, backwards: bool = False) -> None:
        """End the cut and deliver the queued announcements, on request in reverse order."""
        self.cut = False
        held, self._held = self._held, []
        for sender, topic, key, value in reversed(held) if backwards else held:
            self.broadcast(sender, topic, key, value)


class GossipMember:
    """Gossip of one router in a ``MemoryGossip``."""

    def __init__(self, network: MemoryGossip) -> None:
        self._network = network
        self._handlers: defaultdict[str, list[Callable[[str, int], None]]] = defaultdict(list)

    def announce(self, topic: str, key: str, value: int, *, until: float) -> None:
        self._network.broadcast(self, topic, key, value)

    def subscribe_topic(self, topic: str, received: Callable[[str, int], None]) -> None:
        self._handlers[topic].append(received)

    def deliver(self, topic: str, key: str, value: int) -> None:
        """Pass an announcement to the handlers of its topic."""
        for handler in self._handlers[topic]:
            handler(key, value)
