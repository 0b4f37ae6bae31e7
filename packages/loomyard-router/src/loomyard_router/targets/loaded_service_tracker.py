"""Which services targets with loadable models have loaded now."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loomyard_router.targets.loaded_services import sequence_of, services_of, to_number

if TYPE_CHECKING:
    from collections.abc import Callable

    from loomyard.clock import Clock
    from loomyard.external.engine import LoadReport
    from loomyard.objects import Target
    from loomyard_router.targets.gossip import Gossip

LOADED_TOPIC = "targets.loaded"
# Gossip items expire after this time, so they are repeated within it.
ITEM_SECONDS = 600.0
REPEAT_SECONDS = 300.0


class LoadedServiceTracker:
    """Loaded services by own load reports and by gossip; only of targets with ``loadable``."""

    def __init__(self, clock: Clock, gossip: Gossip, changed: Callable[[], None]) -> None:
        self._clock = clock
        self._gossip = gossip
        self._changed = changed
        self._encoded: dict[str, int] = {}
        self._published_at: dict[str, float] = {}
        gossip.subscribe_topic(LOADED_TOPIC, self._receive)

    def services(self, target: Target) -> list[str]:
        """Return the services that a target has loaded; the configured ones until it is known."""
        encoded = self._encoded.get(target.metadata.name)
        if not target.loadable or encoded is None:
            return target.services
        return services_of(target, encoded)

    def observe(self, target: Target, report: LoadReport) -> None:
        """Record a load report of a target that this router polls."""
        if not target.loadable:
            return
        name = target.metadata.name
        now = self._clock.now()
        known = self._encoded.get(name, 0)
        current = to_number(target, sequence_of(known), report.models)
        stale = now - self._published_at.get(name, float("-inf")) >= REPEAT_SECONDS
        if current == known and not stale:
            return
        self._encoded[name] = to_number(target, sequence_of(known) + 1, report.models)
        self._published_at[name] = now
        until = now + ITEM_SECONDS
        self._gossip.announce(LOADED_TOPIC, name, self._encoded[name], until=until)
        if current != known:
            self._changed()

    def retain(self, names: set[str]) -> None:
        """Drop the state of all other targets."""
        for name in self._encoded.keys() - names:
            del self._encoded[name]

    def _receive(self, name: str, number: int) -> None:
        if number > self._encoded.get(name, 0):
            self._encoded[name] = number
            self._changed()
