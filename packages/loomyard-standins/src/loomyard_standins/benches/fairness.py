"""Benchmark of fairness: all share policies at the same time under the same workload."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import json  # noqa: E402
import os  # noqa: E402
import sys  # noqa: E402
import tempfile  # noqa: E402
import time  # noqa: E402
from pathlib import Path  # noqa: E402

from loomyard_standins.benches.bench_fleet import FLEET  # noqa: E402
from loomyard_standins.benches.child import Child  # noqa: E402
from loomyard_standins.benches.comparison import compare, make_table  # noqa: E402
from loomyard_standins.benches.host_cpu import idle_core_seconds  # noqa: E402
from loomyard_standins.benches.plots import plot_service  # noqa: E402
from loomyard_standins.benches.timeline import FAULT_PHASES, Timeline  # noqa: E402
from loomyard_standins.benches.workload import USERS, make_workload  # noqa: E402

POLICIES = ("single", "fleet", "local", "fifo")
END_MARGIN_SECONDS = 30.0
START_TIMEOUT_SECONDS = 45.0
MIN_IDLE_CORES = 1.0


def main() -> int:
    """Run the policies at the same time and print one JSON object."""
    options = _parse()
    arguments = [
        f"--{name}={getattr(options, name)}" for name in ("user", "seed", "calm", "flood", "event")
    ]
    runs: dict[str, Child] = {}
    traces = {policy: _trace_file(policy) for policy in options.policies.split(",")}
    started = time.monotonic()
    try:
        for policy, trace in traces.items():
            flags = [f"--policy={policy}", *([f"--trace={trace}"] if options.plot else [])]
            runs[policy] = Child("policy_run", *flags, *arguments)
        for run in runs.values():
            run.read(START_TIMEOUT_SECONDS)
        idle_before, measured_from = idle_core_seconds(), time.monotonic()
        for run in runs.values():
            run.write(b"go\n")
        seconds = (
            options.calm + options.flood + len(FAULT_PHASES) * options.event + END_MARGIN_SECONDS
        )
        metrics = {policy: run.read(seconds) for policy, run in runs.items()}
        idle_cores = (idle_core_seconds() - idle_before) / (time.monotonic() - measured_from)
    finally:
        for run in runs.values():
            run.kill()
    if options.plot:
        timeline = Timeline(calm=options.calm, flood=options.flood, event=options.event)
        plot_service(make_workload(options.user), timeline, traces, Path(options.plot))
        for trace in traces.values():
            trace.unlink()
    result = {
        "user": options.user,
        "seed": options.seed,
        "seconds": round(time.monotonic() - started, 1),
        "cores": os.cpu_count(),
        "idle_cores_mean": round(idle_cores, 1),
        "saturated": idle_cores < MIN_IDLE_CORES,
        "policies": metrics,
    }
    if FLEET in metrics:
        result["fleet_against"] = compare(metrics, FLEET)
    print(make_table(metrics))
    print(json.dumps(result))
    return 0


def _trace_file(policy: str) -> Path:
    return Path(tempfile.gettempdir()) / f"loomyard-bench-{os.getpid()}-{policy}.npz"


def _parse() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description="Measure gap and utilisation per policy.")
    parser.add_argument("--policies", default=",".join(POLICIES))
    parser.add_argument("--user", choices=USERS, default=USERS[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--calm", type=float, default=12.0)
    parser.add_argument("--flood", type=float, default=8.0)
    parser.add_argument("--plot", default="", help="image file for the plot of service over time")
    parser.add_argument("--event", type=float, default=5.0, help="seconds of each fault; 0: none")
    return parser.parse_args()


if __name__ == "__main__":
    sys.exit(main())
