"""The figures of one run."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import numpy as np

from loomyard_standins.benches.control_figures import control_figures
from loomyard_standins.benches.gap import Gap, contender_gap, fleet_gap
from loomyard_standins.benches.trace import BUCKET_SECONDS
from loomyard_standins.benches.utilisation import ServiceLoad, busy_at_edges, utilisation

if TYPE_CHECKING:
    from loomyard_standins.benches.driver import Driver
    from loomyard_standins.benches.router_status import RouterStatus
    from loomyard_standins.benches.timeline import Timeline
    from loomyard_standins.benches.trace import Trace
    from loomyard_standins.benches.workload import Workload


def make_figures(
    workload: Workload,
    timeline: Timeline,
    trace: Trace,
    driver: Driver,
    report: dict,
    statuses: tuple[list[RouterStatus], list[RouterStatus]],
    used: np.ndarray,
) -> dict[str, Any]:
    """Work the figures out: gaps in units over weight, times in ms, shares in percent."""
    backlog = trace.backlog()
    loads = _loads(workload, trace, report)
    seconds = timeline.end
    cpu = 100 * used / seconds
    figures: dict[str, Any] = {}
    for name, window in (("calm", timeline.calm_window), ("flood", timeline.flood_window)):
        figures[name] = _window_figures(workload, trace, backlog, loads, window)
    kiosk = [figures[name]["smallest_p99_ms"] for name in ("calm", "flood")]
    figures["smallest_p99_flood_over_calm"] = _round(kiosk[1] / kiosk[0]) if kiosk[0] else None
    figures |= {
        "events_per_s": round(trace.events / seconds),
        "requests_per_s": _round(len(trace.waits) / seconds),
        "refused": driver.refused,
        "failed": driver.failed,
        "control": control_figures(*statuses, seconds),
        "cpu_percent": {
            "driver": round(float(cpu[0])),
            "targets": round(float(cpu[1])),
            "router_mean": round(float(cpu[2:].mean())),
            "router_busiest": round(float(cpu[2:].max())),
        },
        "driver_late_p99_ms": _round(1000 * float(np.percentile(driver.lateness, 99))),
        "late_steps_percent": _round(100 * report["late_ticks"]),
    }
    return figures


def _window_figures(
    workload: Workload,
    trace: Trace,
    backlog: np.ndarray,
    loads: list[ServiceLoad],
    window: np.ndarray,
) -> dict[str, Any]:
    weights = np.array([plan.weight for plan in workload.accounts])
    queue = _queue_times(workload, trace, window)
    p50, p99 = (np.percentile(queue, [50, 99]) * 1000).tolist() if queue.size else (0.0, 0.0)
    return {
        "gap_contenders": _gap(workload, contender_gap(trace.service, backlog, weights, window)),
        "gap_one_service": _gap(
            workload, contender_gap(trace.service, backlog & _on_one(workload), weights, window)
        ),
        "gap_fleet": _gap(workload, fleet_gap(trace.service, backlog, weights, window)),
        "utilisation_percent": _round(100 * utilisation(loads, backlog, window)),
        "utilisation_by_service": {
            plan.name: _round(100 * utilisation([loads[n]], backlog[:, n : n + 1], window))
            for n, plan in enumerate(workload.services)
        },
        "rates_over_weight": {
            plan.name: round(
                float(trace.service[n][:, window].sum() / plan.weight / _seconds(window))
            )
            for n, plan in enumerate(workload.accounts)
        },
        "smallest_p50_ms": _round(p50),
        "smallest_p99_ms": _round(p99),
        "smallest_requests": int(queue.size),
        "units_per_s": round(float(trace.service[:, :, window].sum() / _seconds(window))),
    }


def _on_one(workload: Workload) -> np.ndarray:
    """Return for account, service, bucket whether the account uses one service only."""
    return np.array([len(plan.services) == 1 for plan in workload.accounts])[:, None, None]


def _seconds(window: np.ndarray) -> float:
    return float(window.sum() * BUCKET_SECONDS)


def _queue_times(workload: Workload, trace: Trace, window: np.ndarray) -> np.ndarray:
    """Return the seconds to the first service of the smallest account, sent in a window."""
    names = [plan.name for plan in workload.accounts]
    smallest = names.index(workload.smallest)
    end = trace.started + trace.buckets * BUCKET_SECONDS
    times = []
    for wait in trace.waits:
        bucket = int((wait.sent - trace.started) / BUCKET_SECONDS)
        if wait.account != smallest or wait.refused or bucket >= trace.buckets:
            continue
        if window[bucket]:
            times.append((wait.served or end) - wait.sent)
    return np.array(times)


def _loads(workload: Workload, trace: Trace, report: dict) -> list[ServiceLoad]:
    changes = iter(report["changes"])
    loads = []
    for plan in workload.services:
        busy = sum(
            busy_at_edges(next(changes), trace.started, trace.buckets) for _ in range(plan.targets)
        )
        loads.append(ServiceLoad(slots=plan.slots * plan.targets, busy=np.asarray(busy)))
    return loads


def _gap(workload: Workload, gap: Gap) -> dict[str, Any]:
    names = [workload.accounts[number].name for number in gap.accounts]
    return {"units": round(gap.units), "accounts": names}


def _round(value: float) -> float:
    return float(f"{value:.4g}")
