"""Backlog at this router."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from loomyard_router.supervision.listeners import Listeners

if TYPE_CHECKING:
    from collections.abc import Callable

    from loomyard.clock import Clock

# A request refused for lack of a target counts as waiting for this long, since no request can be
# queued for a service that no target has loaded.
REFUSAL_SECONDS = 5.0


class LocalBacklog:
    """Count waiting requests and recent refusals for lack of a target."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._waiting: Counter[str] = Counter()
        self._refused_until: dict[str, float] = {}
        self._listeners = Listeners("orders")

    def waiting(self, service: str) -> int:
        """Return the number of waiting requests of a service, plus one after a recent refusal."""
        refused = self._clock.now() < self._refused_until.get(service, float("-inf"))
        return self._waiting[service] + refused

    def add_waiting(self, service: str) -> None:
        """Count a request that starts to wait."""
        self._waiting[service] += 1

    def remove_waiting(self, service: str) -> None:
        """Count a request that no longer waits."""
        self._waiting[service] -= 1

    def subscribe(self, refused: Callable[[str], None]) -> None:
        """Call ``refused`` with the service of each refusal by this router."""
        self._listeners.subscribe(refused)

    def record_refusal(self, service: str) -> None:
        """Record that this router refused a request for lack of a target, and call subscribers."""
        self.record_remote_refusal(service)
        self._listeners.notify(service)

    def record_remote_refusal(self, service: str) -> None:
        """Record that any router refused a request of a service; subscribers are not called."""
        self._refused_until[service] = self._clock.now() + REFUSAL_SECONDS
