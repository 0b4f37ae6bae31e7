"""Metrics of one run."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import numpy as np

from loomyard_standins.benches.control_figures import control_figures
from loomyard_standins.benches.timeline import EVENTS, SETTLING_SECONDS, WARM_UP_SECONDS, Phase
from loomyard_standins.benches.window_figures import WindowFigures, round_figure

if TYPE_CHECKING:
    from loomyard_standins.benches.driver import Driver
    from loomyard_standins.benches.reading import Reading
    from loomyard_standins.benches.timeline import Timeline
    from loomyard_standins.benches.trace import Trace
    from loomyard_standins.benches.workload import Workload


def make_figures(
    workload: Workload,
    timeline: Timeline,
    trace: Trace,
    driver: Driver,
    report: dict,
    readings: tuple[Reading, Reading],
) -> dict[str, Any]:
    """Return the metrics of a run; control traffic and CPU time cover calm and flood together."""
    windows = WindowFigures(workload, trace, report)
    figures: dict[str, Any] = {
        phase.value: windows.all_of(_window(timeline, phase)) for phase in (Phase.CALM, Phase.FLOOD)
    }
    calm, flood = (figures[p.value]["smallest_p99_ms"] for p in (Phase.CALM, Phase.FLOOD))
    figures["smallest_p99_flood_over_calm"] = round_figure(flood / calm) if calm else None
    if timeline.event:
        figures |= {phase.value: _event_figures(windows, timeline, phase) for phase in EVENTS}
    figures["whole"] = windows.short_of(timeline.window(WARM_UP_SECONDS, timeline.end))
    return figures | {
        "events_per_s": round(trace.events / timeline.end),
        "requests_per_s": round_figure(len(trace.waits) / timeline.end),
        "refused": driver.refused,
        "failed": driver.failed,
        "cut_off": driver.cut_off,
        "control": control_figures(*readings),
        "cpu_percent": _processor_figures(*readings),
        "driver_late_p99_ms": round_figure(1000 * float(np.percentile(driver.lateness, 99))),
        "late_steps_percent": round_figure(100 * report["late_ticks"]),
    }


def _window(timeline: Timeline, phase: Phase, settling: float = 0.0) -> np.ndarray:
    return timeline.window(timeline.start_of(phase) + settling, timeline.end_of(phase))


def _event_figures(windows: WindowFigures, timeline: Timeline, phase: Phase) -> dict[str, Any]:
    return {
        **windows.short_of(_window(timeline, phase)),
        "settled": windows.short_of(_window(timeline, phase, SETTLING_SECONDS)),
    }


def _processor_figures(before: Reading, after: Reading) -> dict[str, int]:
    seconds = after.at - before.at
    pairs = zip(before.routers_cpu, after.routers_cpu, strict=True)
    routers = [100 * (b - a) / seconds for a, b in pairs]
    return {
        "driver": round(100 * (after.driver_cpu - before.driver_cpu) / seconds),
        "targets": round(100 * (after.targets_cpu - before.targets_cpu) / seconds),
        "router_mean": round(sum(routers) / len(routers)),
        "router_busiest": round(max(routers)),
    }
