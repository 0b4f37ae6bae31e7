"""Process that runs the workload under one share policy and prints its metrics."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import sys  # noqa: E402

import gevent  # noqa: E402
import numpy as np  # noqa: E402

from loomyard_standins.benches.bench_fleet import SINGLE, BenchFleet  # noqa: E402
from loomyard_standins.benches.child import exit_with_parent, send_to_parent  # noqa: E402
from loomyard_standins.benches.control_workload import make_control_workload  # noqa: E402
from loomyard_standins.benches.counter_snapshot import take_snapshot  # noqa: E402
from loomyard_standins.benches.driver import Driver  # noqa: E402
from loomyard_standins.benches.fault_injector import FaultInjector  # noqa: E402
from loomyard_standins.benches.load_balancer import LoadBalancer  # noqa: E402
from loomyard_standins.benches.run_metrics import make_run_metrics  # noqa: E402
from loomyard_standins.benches.timeline import WARM_UP_SECONDS, Phase, Timeline  # noqa: E402
from loomyard_standins.benches.trace import Trace  # noqa: E402
from loomyard_standins.benches.workload import ROUTERS, USERS, Workload, make_workload  # noqa: E402

SNAPSHOT_LEAD_SECONDS = 0.3


def main() -> int:
    """Wait for a line on standard input, run the workload and print one JSON object."""
    options = _parse()
    workload = _make_workload(options)
    timeline = Timeline(calm=options.calm, flood=options.flood, event=options.event)
    routers = 1 if options.policy == SINGLE else options.routers
    fleet = BenchFleet(workload, policy=options.policy, routers=routers)
    try:
        fleet.start()
        send_to_parent(ready=True)
        sys.stdin.buffer.raw.readline()
        exit_with_parent()
        trace = Trace(
            accounts=len(workload.accounts),
            services=len(workload.services),
            seconds=timeline.end,
        )
        balancer = LoadBalancer(fleet.ports)
        driver = Driver(workload, timeline, trace, balancer, options.seed)
        balancer = LoadBalancer(fleet.ports)
        driver = Driver(workload, timeline, trace, balancer, options.seed)
        warm_snapshot = gevent.spawn_later(WARM_UP_SECONDS, take_snapshot, fleet)
        snapshot_at = timeline.end_of(Phase.FLOOD) - SNAPSHOT_LEAD_SECONDS
        loaded_snapshot = gevent.spawn_later(snapshot_at, take_snapshot, fleet)
        faults = FaultInjector(fleet, balancer, timeline)
        if timeline.event and routers > 1:
            gevent.spawn(faults.run, trace.started)
        driver.run(idle=options.idle)
        before, after = warm_snapshot.get(timeout=1.0), loaded_snapshot.get(timeout=1.0)
        report = fleet.stop_engines()
    finally:
        fleet.stop()
    metrics = make_run_metrics(workload, timeline, trace, driver, report, (before, after))
    if timeline.event:
        metrics["restarted_configured_after_s"] = faults.configured_after
    if options.trace:
        np.savez_compressed(options.trace, service=trace.service)
    send_to_parent(**metrics)
    return 0


def _make_workload(options: argparse.Namespace) -> Workload:
    if options.accounts_per_router:
        return make_control_workload(
            routers=options.routers, accounts_per_router=options.accounts_per_router
        )
    return make_workload(options.user)


def _parse() -> argparse.Namespace:
    parser = argparse.ArgumentParser()
    parser.add_argument("--policy", required=True)
    parser.add_argument("--user", choices=USERS, default=USERS[0])
    parser.add_argument("--routers", type=int, default=ROUTERS)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--calm", type=float, default=20.0)
    parser.add_argument("--flood", type=float, default=10.0)
    parser.add_argument("--accounts-per-router", type=int, default=0, help="0: those of --user")
    parser.add_argument("--idle", action="store_true", help="send nothing")
    parser.add_argument("--event", type=float, default=0.0)
    parser.add_argument("--trace", default="", help="file for the service over time")
    return parser.parse_args()


if __name__ == "__main__":
    sys.exit(main())
