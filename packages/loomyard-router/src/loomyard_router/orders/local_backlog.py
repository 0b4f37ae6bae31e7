"""What waits at this router."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from loomyard.clock import Clock

# A refusal for want of a target counts as one that waits for some seconds, since nothing can
# queue for a service that no target has loaded.
REFUSAL_SECONDS = 5.0


class LocalBacklog:
    """Count requests that wait and remember refusals for want of a target."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._waiting: Counter[str] = Counter()
        self._refused_until: dict[str, float] = {}

    def waiting(self, service: str) -> int:
        """Return how many requests of a service wait, or were refused for want of a target."""
        refused = self._clock.now() < self._refused_until.get(service, float("-inf"))
        return self._waiting[service] + refused

    def enter(self, service: str) -> None:
        """Count a request that begins to wait."""
        self._waiting[service] += 1

    def leave(self, service: str) -> None:
        """Count a request that no longer waits."""
        self._waiting[service] -= 1

    def refuse(self, service: str) -> None:
        """Take in that no target takes work of a service now."""
        self._refused_until[service] = self._clock.now() + REFUSAL_SECONDS
