"""Fault injection of a run: log outage, router kill and restart, partition and its end."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import gevent

from loomyard_standins.benches.bench_fleet import router_name
from loomyard_standins.benches.timeline import Phase, Timeline

if TYPE_CHECKING:
    from loomyard_standins.benches.bench_fleet import BenchFleet
    from loomyard_standins.benches.landing import Landing

KILLED_ROUTER = 5
CUT_ROUTERS = (0, 4)
POLL_SECONDS = 0.1
GIVE_UP_SECONDS = 4.0


class Events:
    """Inject the faults into a fleet of several routers at the times of the timeline."""

    def __init__(self, fleet: BenchFleet, landing: Landing, timeline: Timeline) -> None:
        self._fleet = fleet
        self._landing = landing
        self._timeline = timeline
        self.configured_after: float | None = None

    def run(self, started: float) -> None:
        """Wait for the start of each phase and inject its fault."""
        for phase, happen in (
            (Phase.KILLED, self._kill),
            (Phase.RESTARTED, self._restart),
            (Phase.CUT, self._cut),
            (Phase.HEALED, self._heal),
        ):
            due = started + self._timeline.start_of(phase)
            gevent.sleep(max(0.0, due - time.monotonic()))
            happen()

    def _kill(self) -> None:
        self._fleet.log.log.down = True
        self._fleet.kill_router(KILLED_ROUTER)
        self._landing.set_down(KILLED_ROUTER, down=True)

    def _restart(self) -> None:
        started = time.monotonic()
        self._fleet.restart_router(KILLED_ROUTER)
        self._landing.set_down(KILLED_ROUTER, down=False)
        gevent.spawn(self._await_configuration, started)

    def _await_configuration(self, started: float) -> None:
        wanted = self._fleet.status(0).version
        while self._fleet.status(KILLED_ROUTER).version < wanted:
            if time.monotonic() - started > GIVE_UP_SECONDS:
                return
            gevent.sleep(POLL_SECONDS)
        self.configured_after = time.monotonic() - started

    def _cut(self) -> None:
        count = len(self._fleet.routers)
        rest = [position for position in range(count) if position not in CUT_ROUTERS]
        for position in range(count):
            far = rest if position in CUT_ROUTERS else CUT_ROUTERS
            self._fleet.cut(position, [router_name(other) for other in far])

    def _heal(self) -> None:
        for position in range(len(self._fleet.routers)):
            self._fleet.cut(position, [])
