"""Polling of targets for load reports; one router of the fleet polls each target."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import gevent

from loomyard_router.supervision.tasks import start_task
from loomyard_router.targets.poll_assignment import PollAssignment

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from result import Result

    from loomyard.clock import Clock
    from loomyard.errors import Fault
    from loomyard.external.engine import Engine, LoadReport
    from loomyard.objects import Target
    from loomyard_router.members.membership import Membership

    HandleReport = Callable[[Target, Result[LoadReport, Fault]], None]

POLL_SECONDS = 1.0
JITTER_FRACTION = 0.2


class LoadPoller:
    """Polls the targets assigned to this router, concurrently and with jitter."""

    def __init__(
        self, clock: Clock, engine: Engine, members: Membership, handle_report: HandleReport
    ) -> None:
        self._clock = clock
        self._engine = engine
        self._members = members
        self._handle_report = handle_report
        self._assignment = PollAssignment(members.own.name)
        self._targets: dict[str, Target] = {}
        self._due: dict[str, float] = {}
        self._running: dict[str, gevent.Greenlet] = {}
        members.subscribe(self._follow_members)

    def set_targets(self, targets: Iterable[Target]) -> None:
        """Replace the targets that the fleet polls."""
        self._targets = {target.metadata.name: target for target in targets}
        self._assignment.set_keys(self._targets)
        self._follow_members()

    def is_own(self, name: str) -> bool:
        """Return whether this router polls a target."""
        return self._assignment.is_own(name)

    def run_due(self) -> None:
        """Start the polls that are due; does not wait for them."""
        now = self._clock.now()
        for name in [n for n in self._targets if self._assignment.is_own(n)]:
            if now >= self._due.get(name, now):
                jitter = random.uniform(-JITTER_FRACTION, JITTER_FRACTION)
                self._due[name] = now + POLL_SECONDS * (1 + jitter)
                self.poll(name)

    def poll(self, name: str) -> None:
        """Start a poll of a target unless one is in progress."""
        target = self._targets.get(name)
        if target is not None and name not in self._running:
            self._running[name] = start_task("load reports", self._poll, name, target)

    def stop(self) -> None:
        """Kill the polls in progress."""
        gevent.killall(list(self._running.values()))

    def _poll(self, name: str, target: Target) -> None:
        try:
            self._handle_report(target, self._engine.load(target.url))
        finally:
            self._running.pop(name, None)

    def _follow_members(self) -> None:
        self._assignment.set_routers(member.name for member in self._members.live())
