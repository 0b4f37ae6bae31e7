"""Plots of model service of each account over time, one panel for each policy."""

from __future__ import annotations

from typing import TYPE_CHECKING

import numpy as np

from loomyard.objects import ServiceType
from loomyard_standins.benches.trace import BUCKET_SECONDS

if TYPE_CHECKING:
    from pathlib import Path

    from loomyard_standins.benches.timeline import Timeline
    from loomyard_standins.benches.workload import Workload

WIDTH, HEIGHT, DOTS_PER_INCH = 4.0, 3.6, 85
POINTS = 200


def plot_service(
    workload: Workload, timeline: Timeline, traces: dict[str, Path], file: Path
) -> None:
    """Write one image to ``file``; ``traces`` maps each policy to its trace file."""
    # Imported here, since only plots need the library.
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    models = [n for n, plan in enumerate(workload.services) if plan.type is ServiceType.MODEL]
    figure, axes = pyplot.subplots(
        1, len(traces), figsize=(WIDTH * len(traces), HEIGHT), sharey=True, squeeze=False
    )
    for axis, (policy, trace) in zip(axes[0], traces.items(), strict=True):
        service = np.load(trace)["service"][:, models].sum(axis=1)
        step = max(1, service.shape[1] // POINTS)
        for number, plan in enumerate(workload.accounts):
            if not service[number].any():
                continue
            normalized_service = np.cumsum(service[number])[::step] / plan.weight / 1000
            seconds = np.arange(normalized_service.size) * step * BUCKET_SECONDS
            axis.plot(
                seconds,
                normalized_service,
                linewidth=0.9,
                label=plan.name,
                color=f"C{number % 10}",
                linestyle="-" if number < 10 else "--",
            )
        for phase in timeline.phases:
            axis.axvline(timeline.start_of(phase), color="0.8", linewidth=0.6)
            axis.text(
                timeline.start_of(phase),
                0,
                f" {phase.value}",
                rotation=90,
                fontsize=5,
                va="bottom",
                color="0.4",
            )
        axis.set_title(policy, fontsize=9)
        axis.set_xlabel("seconds", fontsize=8)
    axes[0][0].set_ylabel("service over weight, thousand units", fontsize=8)
    axes[0][-1].legend(fontsize=5, loc="upper left")
    figure.tight_layout()
    file.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(file, dpi=DOTS_PER_INCH)
