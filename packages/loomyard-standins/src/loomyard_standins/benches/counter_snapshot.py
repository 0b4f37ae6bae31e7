"""Snapshot of the counters of a run."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from attrs import frozen

from loomyard_standins.benches.router_status import RouterStatus

if TYPE_CHECKING:
    from loomyard_standins.benches.bench_fleet import BenchFleet


@frozen(kw_only=True)
class CounterSnapshot:
    """Monotonic time, CPU seconds used by each process and status of each router."""

    at: float
    driver_cpu: float
    targets_cpu: float
    routers_cpu: tuple[float, ...]
    statuses: tuple[RouterStatus, ...]


def take_snapshot(fleet: BenchFleet) -> CounterSnapshot:
    """Read the counters of all processes of a fleet."""
    return CounterSnapshot(
        at=time.monotonic(),
        driver_cpu=time.process_time(),
        targets_cpu=fleet.engine_cpu_seconds(),
        routers_cpu=tuple(fleet.router_cpu_seconds()),
        statuses=tuple(fleet.status(position) for position in range(len(fleet.routers))),
    )
