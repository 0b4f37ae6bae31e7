"""Pacing of messages to a budget of messages and bytes."""

from __future__ import annotations


class Pacer:
    """A token bucket over messages and bytes; where it is empty, messages wait and are merged."""

    def __init__(self, *, messages: float, size: float, burst: float) -> None:
        self._message_rate = messages
        self._byte_rate = size
        self._burst = burst
        self._messages = burst
        self._bytes = size
        self._filled_at = 0.0

    @property
    def byte_rate(self) -> float:
        """Return the budget in bytes a second."""
        return self._byte_rate

    def allows(self, now: float) -> bool:
        """Tell whether a message may go."""
        self._fill(now)
        return self._messages >= 1.0 and self._bytes > 0.0

    def spend(self, size: int) -> None:
        """Take a message off the budget; one of no size stayed on this router."""
        if not size:
            return
        self._messages -= 1.0
        self._bytes -= size

    def _fill(self, now: float) -> None:
        elapsed = now - self._filled_at
        self._filled_at = now
        self._messages = min(self._burst, self._messages + elapsed * self._message_rate)
        self._bytes = min(self._byte_rate, self._bytes + elapsed * self._byte_rate)
