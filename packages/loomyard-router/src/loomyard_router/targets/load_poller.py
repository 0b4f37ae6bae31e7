"""Poll targets for their load; each target is polled by one router of the fleet."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import gevent

from loomyard_router.targets.duties import Duties

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from result import Result

    from loomyard.clock import Clock
    from loomyard.errors import Fault
    from loomyard.objects import Target
    from loomyard.outside.engine import Engine, LoadReport
    from loomyard_router.members.membership import Membership

    TakeReport = Callable[[Target, Result[LoadReport, Fault]], None]

POLL_SECONDS = 1.0
JITTER_PART = 0.2


class LoadPoller:
    """Poll the targets that are this router's."""

    def __init__(self, clock: Clock, engine: Engine, members: Membership, take: TakeReport) -> None:
        self._clock = clock
        self._engine = engine
        self._members = members
        self._take = take
        self._duties = Duties(members.own.name)
        self._targets: dict[str, Target] = {}
        self._due: dict[str, float] = {}
        self._running: dict[str, gevent.Greenlet] = {}
        members.subscribe(self._follow_members)

    def set_targets(self, targets: Iterable[Target]) -> None:
        """Take the targets over."""
        self._targets = {target.metadata.name: target for target in targets}
        self._duties.set_keys(self._targets)
        self._follow_members()

    def is_mine(self, name: str) -> bool:
        """Tell whether this router polls a target."""
        return self._duties.is_mine(name)

    def run_due(self) -> None:
        """Start the polls that are due."""
        now = self._clock.now()
        for name in [n for n in self._targets if self._duties.is_mine(n)]:
            if now >= self._due.get(name, now):
                jitter = random.uniform(-JITTER_PART, JITTER_PART)
                self._due[name] = now + POLL_SECONDS * (1 + jitter)
                self.poll(name)

    def poll(self, name: str) -> None:
        """Start a poll of a target, unless one is on its way."""
        target = self._targets.get(name)
        if target is not None and name not in self._running:
            self._running[name] = gevent.spawn(self._poll, name, target)

    def stop(self) -> None:
        """End the polls."""
        gevent.killall(list(self._running.values()))

    def _poll(self, name: str, target: Target) -> None:
        try:
            self._take(target, self._engine.load(target.url))
        finally:
            self._running.pop(name, None)

    def _follow_members(self) -> None:
        self._duties.set_names(member.name for member in self._members.live())
