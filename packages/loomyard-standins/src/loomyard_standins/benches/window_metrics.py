"""Metrics of a window of a run: gaps in cost units over weight, times in ms, percentages."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import numpy as np

from loomyard_standins.benches.gap import Gap, contender_gap, fleet_gap
from loomyard_standins.benches.trace import BUCKET_SECONDS
from loomyard_standins.benches.utilisation import ServiceLoad, busy_at_edges, utilisation

if TYPE_CHECKING:
    from loomyard_standins.benches.trace import Trace
    from loomyard_standins.benches.workload import Workload


class WindowMetrics:
    """Computes metrics of any window (mask of buckets) from the trace and the target report."""

    def __init__(self, workload: Workload, trace: Trace, report: dict) -> None:
        self._workload = workload
        self._trace = trace
        self._backlog = trace.backlog()
        self._loads = _loads(workload, trace, report)
        self._weights = np.array([plan.weight for plan in workload.accounts])
        one_service = [len(plan.services) == 1 for plan in workload.accounts]
        self._one_service_backlog = self._backlog & np.array(one_service)[:, None, None]

    def gap_metrics(self, window: np.ndarray) -> dict[str, Any]:
        """Return the fairness gaps and the slot utilisation of a window."""
        service, backlog, weights = self._trace.service, self._backlog, self._weights
        one_service_gap = contender_gap(service, self._one_service_backlog, weights, window)
        return {
            "gap_one_service": self._describe(one_service_gap),
            "gap_contenders": self._describe(contender_gap(service, backlog, weights, window)),
            "gap_fleet": self._describe(fleet_gap(service, backlog, weights, window)),
            "utilisation_percent": round_significant(
                100 * utilisation(self._loads, backlog, window)
            ),
        }

    def all_metrics(self, window: np.ndarray) -> dict[str, Any]:
        """Return all metrics of a window, with latency and throughput."""
        seconds = max(1, window.sum()) * BUCKET_SECONDS
        waits = self._times_to_first_service(window)
        p50, p99 = (np.percentile(waits, [50, 99]) * 1000).tolist() if waits.size else (0.0, 0.0)
        return self.gap_metrics(window) | {
            "gap_by_service": self._gap_by_service(window),
            "utilisation_by_service": self._utilisation_by_service(window),
            "smallest_p50_ms": round_significant(p50),
            "smallest_p99_ms": round_significant(p99),
            "smallest_requests": int(waits.size),
            "units_per_s": round(float(self._trace.service[:, :, window].sum() / seconds)),
            "units_per_s_over_weight": {
                plan.name: round(
                    float(self._trace.service[n][:, window].sum() / plan.weight / seconds)
                )
                for n, plan in enumerate(self._workload.accounts)
            },
        }

    def _describe(self, gap: Gap) -> dict[str, Any]:
        names = [self._workload.accounts[number].name for number in gap.accounts]
        return {"units": round(gap.units), "accounts": names}

    def _gap_by_service(self, window: np.ndarray) -> dict[str, Any]:
        service, backlog = self._trace.service, self._one_service_backlog
        return {
            plan.name: self._describe(
                contender_gap(service[:, n : n + 1], backlog[:, n : n + 1], self._weights, window)
            )
            for n, plan in enumerate(self._workload.services)
        }

    def _utilisation_by_service(self, window: np.ndarray) -> dict[str, float]:
        return {
            plan.name: round_significant(
                100 * utilisation([self._loads[n]], self._backlog[:, n : n + 1], window)
            )
            for n, plan in enumerate(self._workload.services)
        }

    def _times_to_first_service(self, window: np.ndarray) -> np.ndarray:
        """Return the seconds from sending to first service, of the smallest account's requests."""
        names = [plan.name for plan in self._workload.accounts]
        smallest = names.index(self._workload.smallest)
        trace = self._trace
        end = trace.started + trace.buckets * BUCKET_SECONDS
        times = []
        for request in trace.requests:
            bucket = int((request.sent - trace.started) / BUCKET_SECONDS)
            if request.account != smallest or request.refused or bucket >= trace.buckets:
                continue
            if window[bucket]:
                times.append((request.served or end) - request.sent)
        return np.array(times)


def round_significant(value: float) -> float:
    """Round to four significant digits."""
    return float(f"{value:.4g}")


def _loads(workload: Workload, trace: Trace, report: dict) -> list[ServiceLoad]:
    changes = iter(report["changes"])
    loads = []
    for plan in workload.services:
        busy = sum(
            busy_at_edges(next(changes), trace.started, trace.buckets) for _ in range(plan.targets)
        )
        loads.append(ServiceLoad(slots=plan.slots * plan.targets, busy=np.asarray(busy)))
    return loads
