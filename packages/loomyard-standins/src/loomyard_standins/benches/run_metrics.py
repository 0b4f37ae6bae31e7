"""Metrics of one run."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import numpy as np

from loomyard_standins.benches.control_traffic import control_traffic_rates
from loomyard_standins.benches.timeline import FAULT_PHASES, SETTLE_SECONDS, WARM_UP_SECONDS, Phase
from loomyard_standins.benches.window_metrics import WindowMetrics, round_significant

if TYPE_CHECKING:
    from loomyard_standins.benches.counter_snapshot import CounterSnapshot
    from loomyard_standins.benches.driver import Driver
    from loomyard_standins.benches.timeline import Timeline
    from loomyard_standins.benches.trace import Trace
    from loomyard_standins.benches.workload import Workload


def make_run_metrics(
    workload: Workload,
    timeline: Timeline,
    trace: Trace,
    driver: Driver,
    report: dict,
    snapshots: tuple[CounterSnapshot, CounterSnapshot],
) -> dict[str, Any]:
    """Return the metrics of a run; control traffic and CPU time cover calm and flood together."""
    windows = WindowMetrics(workload, trace, report)
    metrics: dict[str, Any] = {
        phase.value: windows.all_metrics(_window(timeline, phase))
        for phase in (Phase.CALM, Phase.FLOOD)
    }
    calm, flood = (metrics[p.value]["smallest_p99_ms"] for p in (Phase.CALM, Phase.FLOOD))
    metrics["smallest_p99_flood_over_calm"] = round_significant(flood / calm) if calm else None
    if timeline.event:
        metrics |= {phase.value: _fault_metrics(windows, timeline, phase) for phase in FAULT_PHASES}
    metrics["whole"] = windows.gap_metrics(timeline.window(WARM_UP_SECONDS, timeline.end))
    return metrics | {
        "events_per_s": round(trace.events / timeline.end),
        "requests_per_s": round_significant(len(trace.requests) / timeline.end),
        "refused": driver.refused,
        "failed": driver.failed,
        "cut_off": driver.truncated,
        "control": control_traffic_rates(*snapshots),
        "cpu_percent": _cpu_percentages(*snapshots),
        "driver_late_p99_ms": round_significant(1000 * float(np.percentile(driver.loop_lag, 99))),
        "late_steps_percent": round_significant(100 * report["late_ticks"]),
    }


def _window(timeline: Timeline, phase: Phase, skipped_seconds: float = 0.0) -> np.ndarray:
    return timeline.window(timeline.start_of(phase) + skipped_seconds, timeline.end_of(phase))


def _fault_metrics(windows: WindowMetrics, timeline: Timeline, phase: Phase) -> dict[str, Any]:
    return {
        **windows.gap_metrics(_window(timeline, phase)),
        "settled": windows.gap_metrics(_window(timeline, phase, SETTLE_SECONDS)),
    }


def _cpu_percentages(before: CounterSnapshot, after: CounterSnapshot) -> dict[str, int]:
    seconds = after.at - before.at
    pairs = zip(before.routers_cpu, after.routers_cpu, strict=True)
    routers = [100 * (b - a) / seconds for a, b in pairs]
    return {
        "driver": round(100 * (after.driver_cpu - before.driver_cpu) / seconds),
        "targets": round(100 * (after.targets_cpu - before.targets_cpu) / seconds),
        "router_mean": round(sum(routers) / len(routers)),
        "router_busiest": round(max(routers)),
    }
