"""One run of one policy, as a process of its own that prints its figures."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402

import numpy as np  # noqa: E402

from loomyard_standins.benches.bench_fleet import SINGLE, BenchFleet  # noqa: E402
from loomyard_standins.benches.child import announce  # noqa: E402
from loomyard_standins.benches.driver import Driver  # noqa: E402
from loomyard_standins.benches.figures import make_figures  # noqa: E402
from loomyard_standins.benches.timeline import Timeline  # noqa: E402
from loomyard_standins.benches.trace import Trace  # noqa: E402
from loomyard_standins.benches.workload import ROUTERS, USERS, make_workload  # noqa: E402


def main() -> int:
    """Run and print one JSON object."""
    options = _parse()
    workload = make_workload(options.user)
    timeline = Timeline(calm=options.calm, flood=options.flood)
    routers = 1 if options.policy == SINGLE else options.routers
    fleet = BenchFleet(workload, policy=options.policy, routers=routers)
    try:
        fleet.start()
        announce(ready=True)
        sys.stdin.readline()
        trace = Trace(
            accounts=len(workload.accounts),
            services=len(workload.services),
            seconds=timeline.end,
        )
        driver = Driver(workload, timeline, trace, fleet.ports, options.seed)
        before, began = _cpu(fleet), [fleet.status(position) for position in range(routers)]
        driver.run()
        used = _cpu(fleet) - before
        statuses = [fleet.status(position) for position in range(routers)]
        report = fleet.end_engines()
    finally:
        fleet.stop()
    figures = make_figures(workload, timeline, trace, driver, report, (began, statuses), used)
    if options.trace:
        np.savez_compressed(options.trace, service=trace.service)
    announce(**figures)
    return 0


def _cpu(fleet: BenchFleet) -> np.ndarray:
    """Return processor seconds of the driver, the targets and each router."""
    return np.array([time.process_time(), fleet.engine_cpu_seconds(), *fleet.router_cpu_seconds()])


def _parse() -> argparse.Namespace:
    parser = argparse.ArgumentParser()
    parser.add_argument("--policy", required=True)
    parser.add_argument("--user", choices=USERS, default=USERS[0])
    parser.add_argument("--routers", type=int, default=ROUTERS)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--calm", type=float, default=20.0)
    parser.add_argument("--flood", type=float, default=10.0)
    parser.add_argument("--trace", default="", help="file for the service over time")
    return parser.parse_args()


if __name__ == "__main__":
    sys.exit(main())
