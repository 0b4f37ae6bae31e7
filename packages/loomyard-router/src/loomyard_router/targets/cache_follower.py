"""Polling of cache events of the targets to which this router sends most."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from result import Ok

from loomyard_router.supervision.tasks import start_task

if TYPE_CHECKING:
    import gevent

    from loomyard.clock import Clock
    from loomyard.external.engine import Engine
    from loomyard.objects import Target
    from loomyard_router.targets.prefix_index import PrefixIndex

POLL_SECONDS = 2.0
# Bounds the event traffic of a router, however many targets there are.
FOLLOWED_TARGETS = 8
# Time without polls after a poll failed, as with engines that publish no events.
NO_EVENTS_SECONDS = 60.0


class CacheFollower:
    """Polls cache events of the targets with the most prefix sends, halved at each poll."""

    def __init__(self, clock: Clock, engine: Engine, index: PrefixIndex) -> None:
        self._clock = clock
        self._engine = engine
        self._index = index
        self._sends: Counter[str] = Counter()
        self._skipped_until: dict[str, float] = {}
        self._due = clock.now()
        self._task: gevent.Greenlet | None = None

    def record_send(self, name: str) -> None:
        """Count a request with a prompt prefix that was sent to a target."""
        self._sends[name] += 1

    def run_due(self, targets: dict[str, Target]) -> None:
        """Start a poll if one is due and none is in progress."""
        now = self._clock.now()
        if now < self._due or (self._task is not None and not self._task.dead):
            return
        self._due = now + POLL_SECONDS
        sends = Counter({n: c for n, c in self._sends.items() if n in targets})
        self._sends = Counter({name: count // 2 for name, count in sends.items() if count > 1})
        self._skipped_until = {n: at for n, at in self._skipped_until.items() if at > now}
        for name in self._skipped_until:
            del sends[name]
        followed = [targets[name] for name, _ in sends.most_common(FOLLOWED_TARGETS)]
        self._task = start_task("cache events", self._poll, followed)

    def stop(self) -> None:
        """Kill the poll in progress."""
        if self._task is not None:
            self._task.kill()

    def _poll(self, targets: list[Target]) -> None:
        for target in targets:
            name = target.metadata.name
            match self._engine.cache_events(target.url, self._index.sequence(name)):
                case Ok(events):
                    self._index.apply_events(name, events)
                case _:
                    # Engines without events answer with an error; the index then has own sends.
                    self._skipped_until[name] = self._clock.now() + NO_EVENTS_SECONDS
