"""The newest records that the writers of a soak wrote, and which of them the store has lost."""

from __future__ import annotations

from typing import Any

from attrs import define, field

Key = tuple[str, str]


@define(eq=False)
class WrittenRecords:
    """Messages to the store by topic and key, with the times of writing and of acknowledgement."""

    _written: dict[Key, tuple[float, dict[str, Any]]] = field(factory=dict)
    _acked_at: dict[str, float] = field(factory=dict)

    def record_write(self, topic: str, key: str, message: dict[str, Any], at: float) -> None:
        """Record the newest write of a key."""
        self._written[topic, key] = (at, message)

    def record_ack(self, key: str, at: float) -> None:
        """Record that the store has acknowledged a write of a key."""
        self._acked_at[key] = at

    def find_lost(self, since: float) -> list[dict[str, Any]]:
        """Return the messages that a rollback to a copy of some time may have lost.

        A paused store gets what was written before the rollback just before it.
        """
        return [
            message
            for (_, key), (written_at, message) in self._written.items()
            if not written_at <= self._acked_at.get(key, 0.0) < since
        ]
