"""Benchmark of control traffic: under load, idle, and by number of accounts and routers."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import json  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402
from typing import Any  # noqa: E402

from attrs import frozen  # noqa: E402

from loomyard_standins.benches.child import Child  # noqa: E402
from loomyard_standins.benches.host_cpu import idle_core_seconds  # noqa: E402

END_MARGIN_SECONDS = 30.0
START_TIMEOUT_SECONDS = 45.0
REPORTED_KEYS = ("control", "cpu_percent", "events_per_s", "requests_per_s")


@frozen(kw_only=True)
class LoadPoint:
    """One load; 0 ``accounts_per_router`` selects the workload of Cambiavolt."""

    name: str
    routers: int = 8
    accounts_per_router: int = 0
    idle: bool = False

    @property
    def arguments(self) -> list[str]:
        """Return the command-line flags of ``policy_run`` for this load."""
        flags = [f"--routers={self.routers}", f"--accounts-per-router={self.accounts_per_router}"]
        return [*flags, "--idle"] if self.idle else flags


# In two batches, so that the processes of one batch don't use all cores of the host.
BATCHES = (
    (
        LoadPoint(name="full load"),
        LoadPoint(name="idle", idle=True),
        LoadPoint(name="2 routers, 4 accounts each", routers=2, accounts_per_router=4),
        LoadPoint(name="2 routers, 8 accounts each", routers=2, accounts_per_router=8),
        LoadPoint(name="4 routers, 4 accounts each", routers=4, accounts_per_router=4),
    ),
    (
        LoadPoint(name="8 routers, 2 accounts each", accounts_per_router=2),
        LoadPoint(name="8 routers, 4 accounts each", accounts_per_router=4),
        LoadPoint(name="8 routers, 8 accounts each", accounts_per_router=8),
    ),
)


def main() -> int:
    """Run the batches one after another and print one JSON object."""
    parser = argparse.ArgumentParser(description="Measure control traffic of the fleet policy.")
    parser.add_argument("--seconds", type=float, default=10.0, help="seconds of each batch")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    started, idle = time.monotonic(), idle_core_seconds()
    results: dict[str, Any] = {}
    for batch in BATCHES:
        results |= _run(batch, options)
    seconds = time.monotonic() - started
    result = {
        "seed": options.seed,
        "seconds": round(seconds, 1),
        "idle_cores_mean": round((idle_core_seconds() - idle) / seconds, 1),
        "points": results,
    }
    print(json.dumps(result))
    return 0


def _run(batch: tuple[LoadPoint, ...], options: argparse.Namespace) -> dict[str, Any]:
    common = ["--policy=fleet", f"--seed={options.seed}", f"--calm={options.seconds}", "--flood=0"]
    runs: dict[str, Child] = {}
    try:
        for point in batch:
            runs[point.name] = Child("policy_run", *common, *point.arguments)
        for run in runs.values():
            run.read(START_TIMEOUT_SECONDS)
        for run in runs.values():
            run.write(b"go\n")
        metrics = {
            name: run.read(options.seconds + END_MARGIN_SECONDS) for name, run in runs.items()
        }
    finally:
        for run in runs.values():
            run.kill()
    return {
        name: {key: run_metrics[key] for key in REPORTED_KEYS}
        | {"utilisation_percent": run_metrics["calm"]["utilisation_percent"]}
        for name, run_metrics in metrics.items()
    }


if __name__ == "__main__":
    sys.exit(main())
