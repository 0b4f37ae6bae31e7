"""Rate limit on messages to other routers."""

from __future__ import annotations


class MessageBudget:
    """Token buckets over messages and bytes; while one is empty, messages wait and are merged.

    ``messages`` and ``size`` are rates a second, of messages and bytes; ``burst`` is in messages.
    """

    def __init__(self, *, messages: float, size: float, burst: float) -> None:
        self._message_rate = messages
        self._byte_rate = size
        self._burst = burst
        self._messages = burst
        self._bytes = size
        self._filled_at = 0.0

    @property
    def byte_rate(self) -> float:
        """Return the rate limit in bytes a second."""
        return self._byte_rate

    def allows(self, now: float) -> bool:
        """Return whether a message may be sent."""
        self._fill(now)
        return self._messages >= 1.0 and self._bytes > 0.0

    def spend(self, size: int) -> None:
        """Charge a message of ``size`` bytes; size 0 means that it stayed on this router."""
        if not size:
            return
        self._messages -= 1.0
        self._bytes -= size

    def _fill(self, now: float) -> None:
        elapsed = now - self._filled_at
        self._filled_at = now
        self._messages = min(self._burst, self._messages + elapsed * self._message_rate)
        self._bytes = min(self._byte_rate, self._bytes + elapsed * self._byte_rate)
