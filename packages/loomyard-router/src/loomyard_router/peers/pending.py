"""Messages that wait for a link to be opened."""

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
    """Messages by the name of the peer, a bounded number for each."""

    traffic: TrafficCounters
    _messages: dict[str, list[Any]] = field(factory=dict)

    def add(self, name: str, message: Any) -> bool:
        """Keep a message; false where too many wait."""
        messages = self._messages.setdefault(name, [])
        if len(messages) >= MAX_PENDING:
            self.traffic.dropped(name_of(type(message)))
            return False
        messages.append(message)
        return True

    def release(self, name: str, link: PeerLink | None) -> None:
        """Send what waited on a link, or drop it where none was opened."""
        for message in self._messages.pop(name, []):
            if link is None:
                self.traffic.dropped(name_of(type(message)))
            else:
                link.send(message)
