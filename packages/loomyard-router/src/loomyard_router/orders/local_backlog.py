"""What waits at this router."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

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
        self._listeners: list[Callable[[str], None]] = []

    def waiting(self, service: str) -> int:
        """Return how many requests of a service wait, or were refused for want of a target."""
        refused = self._clock.now() < self._refused_until.get(service, float("-inf"))
        return self._waiting[service] + refused

    def add_waiting(self, service: str) -> None:
        """Count a request that begins to wait."""
        self._waiting[service] += 1

    def remove_waiting(self, service: str) -> None:
        """Count a request that no longer waits."""
        self._waiting[service] -= 1

    def subscribe(self, refused: Callable[[str], None]) -> None:
        """Call back with the service of each refusal of this router."""
        self._listeners.append(refused)

    def record_refusal(self, service: str) -> None:
        """Take in that this router refused a request since no target takes its service now."""
        self.record_remote_refusal(service)
        for listener in self._listeners:
            listener(service)

    def record_remote_refusal(self, service: str) -> None:
        """Take in that some router refused a request of a service."""
        self._refused_until[service] = self._clock.now() + REFUSAL_SECONDS
