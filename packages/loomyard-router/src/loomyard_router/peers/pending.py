"""Messages that are queued until a link is open."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from attrs import define, field

from loomyard_router.peers.message_types import name_of
from loomyard_router.peers.traffic import TrafficCounters

if TYPE_CHECKING:
    from loomyard_router.peers.link import PeerLink

MAX_PENDING = 64


@define(eq=False)
class PendingMessages:
    """Queues of messages by the name of the peer, each of bounded length."""

    traffic: TrafficCounters
    _messages: dict[str, list[Any]] = field(factory=dict)

    def add(self, name: str, message: Any) -> bool:
        """Queue a message; false where the queue is full and the message is dropped."""
        messages = self._messages.setdefault(name, [])
        if len(messages) >= MAX_PENDING:
            self.traffic.record_dropped(name_of(type(message)))
            return False
        messages.append(message)
        return True

    def flush(self, name: str, link: PeerLink | None) -> None:
        """Send the queued messages on a link, or drop them where none was opened."""
        for message in self._messages.pop(name, []):
            if link is None:
                self.traffic.record_dropped(name_of(type(message)))
            else:
                link.send(message)
