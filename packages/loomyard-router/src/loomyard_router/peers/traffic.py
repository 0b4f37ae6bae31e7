"""Counters of the control traffic between routers."""

from __future__ import annotations

from collections import defaultdict

from attrs import define, field


@define(eq=False)
class MessageTraffic:
    """Messages and bytes of one message type; bytes are those passed to TCP or UDP."""

    sent_messages: int = 0
    sent_bytes: int = 0
    received_messages: int = 0
    received_bytes: int = 0
    dropped_messages: int = 0
    refused_messages: int = 0


@define(eq=False)
class TrafficCounters:
    """Traffic by message type, since the router started."""

    # Messages sent within frames; a frame is counted as a message of its own.
    framed_messages: int = 0
    kinds: defaultdict[str, MessageTraffic] = field(factory=lambda: defaultdict(MessageTraffic))

    @property
    def sent_bytes(self) -> int:
        return sum(kind.sent_bytes for kind in self.kinds.values())

    @property
    def sent_messages(self) -> int:
        """Return the number of frames and datagrams sent."""
        return sum(kind.sent_messages for kind in self.kinds.values()) - self.framed_messages

    @property
    def received_bytes(self) -> int:
        return sum(kind.received_bytes for kind in self.kinds.values())

    def record_sent(self, kind: str, size: int) -> None:
        """Count a message sent."""
        counts = self.kinds[kind]
        counts.sent_messages += 1
        counts.sent_bytes += size

    def record_received(self, kind: str, size: int) -> None:
        """Count a message received."""
        counts = self.kinds[kind]
        counts.received_messages += 1
        counts.received_bytes += size

    def record_dropped(self, kind: str) -> None:
        """Count a message that was not sent: a full queue, its size or a failed link."""
        self.kinds[kind].dropped_messages += 1

    def record_refused(self, kind: str) -> None:
        """Count a message that was rejected: a wrong key, a replay, malformed bytes or overload."""
        self.kinds[kind].refused_messages += 1
