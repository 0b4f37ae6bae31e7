"""Fault injection of a run: log outage, router kill and restart, partition and its end."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import gevent

from loomyard_standins.benches.bench_fleet import router_name
from loomyard_standins.benches.timeline import Phase, Timeline

if TYPE_CHECKING:
    from loomyard_standins.benches.bench_fleet import BenchFleet
    from loomyard_standins.benches.load_balancer import LoadBalancer

KILLED_ROUTER = 5
PARTITIONED_ROUTERS = (0, 4)
POLL_INTERVAL_SECONDS = 0.1
CONFIGURATION_TIMEOUT_SECONDS = 4.0


class FaultInjector:
    """Inject the faults into a fleet of several routers at the times of the timeline."""

    def __init__(self, fleet: BenchFleet, balancer: LoadBalancer, timeline: Timeline) -> None:
        self._fleet = fleet
        self._balancer = balancer
        self._timeline = timeline
        self.configured_after: float | None = None

    def run(self, started: float) -> None:
        """Wait for the start of each phase and inject its fault."""
        for phase, inject in (
            (Phase.KILLED, self._kill),
            (Phase.RESTARTED, self._restart),
            (Phase.PARTITIONED, self._partition),
            (Phase.HEALED, self._end_partition),
        ):
            due = started + self._timeline.start_of(phase)
            gevent.sleep(max(0.0, due - time.monotonic()))
            inject()

    def _kill(self) -> None:
        self._fleet.log.log.down = True
        self._fleet.kill_router(KILLED_ROUTER)
        self._balancer.set_down(KILLED_ROUTER, down=True)

    def _restart(self) -> None:
        started = time.monotonic()
        self._fleet.restart_router(KILLED_ROUTER)
        self._balancer.set_down(KILLED_ROUTER, down=False)
        gevent.spawn(self._await_configuration, started)

    def _await_configuration(self, started: float) -> None:
        wanted_version = self._fleet.status(0).version
        while self._fleet.status(KILLED_ROUTER).version < wanted_version:
            if time.monotonic() - started > CONFIGURATION_TIMEOUT_SECONDS:
                return
            gevent.sleep(POLL_INTERVAL_SECONDS)
        self.configured_after = time.monotonic() - started

    def _partition(self) -> None:
        count = len(self._fleet.routers)
        rest = [position for position in range(count) if position not in PARTITIONED_ROUTERS]
        for position in range(count):
            unreachable = rest if position in PARTITIONED_ROUTERS else PARTITIONED_ROUTERS
            self._fleet.partition(position, [router_name(other) for other in unreachable])

    def _end_partition(self) -> None:
        for position in range(len(self._fleet.routers)):
            self._fleet.partition(position, [])
