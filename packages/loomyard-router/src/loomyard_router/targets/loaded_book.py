"""Which services the targets that take orders have loaded now."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loomyard_router.targets.loaded_services import sequence_of, services_of, to_number

if TYPE_CHECKING:
    from collections.abc import Callable

    from loomyard.clock import Clock
    from loomyard.objects import Target
    from loomyard.outside.engine import LoadReport
    from loomyard_router.targets.gossip import Gossip

LOADED_TOPIC = "targets.loaded"
ITEM_SECONDS = 600.0
REPEAT_SECONDS = 300.0


class LoadedBook:
    """Learn from load reports and from peers; only targets with ``loadable`` count."""

    def __init__(self, clock: Clock, gossip: Gossip, changed: Callable[[], None]) -> None:
        self._clock = clock
        self._gossip = gossip
        self._changed = changed
        self._numbers: dict[str, int] = {}
        self._told_at: dict[str, float] = {}
        gossip.subscribe_topic(LOADED_TOPIC, self._hear)

    def services(self, target: Target) -> list[str]:
        """Return the services that a target can serve now."""
        number = self._numbers.get(target.metadata.name)
        if not target.loadable or number is None:
            return target.services
        return services_of(target, number)

    def observe(self, target: Target, report: LoadReport) -> None:
        """Take in a load report of a target that this router polls."""
        if not target.loadable:
            return
        name = target.metadata.name
        now = self._clock.now()
        known = self._numbers.get(name, 0)
        wanted = to_number(target, sequence_of(known), report.models)
        stale = now - self._told_at.get(name, float("-inf")) >= REPEAT_SECONDS
        if wanted == known and not stale:
            return
        self._numbers[name] = to_number(target, sequence_of(known) + 1, report.models)
        self._told_at[name] = now
        until = now + ITEM_SECONDS
        self._gossip.announce(LOADED_TOPIC, name, self._numbers[name], until=until)
        if wanted != known:
            self._changed()

    def retain(self, names: set[str]) -> None:
        """Forget all other targets."""
        for name in self._numbers.keys() - names:
            del self._numbers[name]

    def _hear(self, name: str, number: int) -> None:
        if number > self._numbers.get(name, 0):
            self._numbers[name] = number
            self._changed()
