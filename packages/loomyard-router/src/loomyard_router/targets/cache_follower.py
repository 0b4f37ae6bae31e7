"""Follow the cache events of the targets that this router sends most to."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import gevent
from result import Ok

if TYPE_CHECKING:
    from loomyard.clock import Clock
    from loomyard.objects import Target
    from loomyard.outside.engine import Engine
    from loomyard_router.targets.prefix_index import PrefixIndex

POLL_SECONDS = 2.0
# Bounds what a router hears of caches, however many targets there are.
FOLLOWED_TARGETS = 8
# An engine that has no events is not asked again for so long.
SILENT_SECONDS = 60.0


class CacheFollower:
    """Pull events of a few targets; own sends tell which."""

    def __init__(self, clock: Clock, engine: Engine, index: PrefixIndex) -> None:
        self._clock = clock
        self._engine = engine
        self._index = index
        self._sends: Counter[str] = Counter()
        self._silent_until: dict[str, float] = {}
        self._due = clock.now()
        self._task: gevent.Greenlet | None = None

    def note_send(self, name: str) -> None:
        """Count a send with a prefix."""
        self._sends[name] += 1

    def run_due(self, targets: dict[str, Target]) -> None:
        """Start to pull where that is due."""
        now = self._clock.now()
        if now < self._due or (self._task is not None and not self._task.dead):
            return
        self._due = now + POLL_SECONDS
        asked = Counter({n: c for n, c in self._sends.items() if n in targets})
        self._sends = Counter({name: count // 2 for name, count in asked.items() if count > 1})
        self._silent_until = {n: at for n, at in self._silent_until.items() if at > now}
        for name in self._silent_until:
            del asked[name]
        followed = [targets[name] for name, _ in asked.most_common(FOLLOWED_TARGETS)]
        self._task = gevent.spawn(self._pull, followed)

    def stop(self) -> None:
        """End the pull."""
        if self._task is not None:
            self._task.kill()

    def _pull(self, targets: list[Target]) -> None:
        for target in targets:
            name = target.metadata.name
            match self._engine.cache_events(target.url, self._index.sequence(name)):
                case Ok(events):
                    self._index.take_events(name, events)
                case _:
                    # Engines without events answer with an error; own sends must do there.
                    self._silent_until[name] = self._clock.now() + SILENT_SECONDS
