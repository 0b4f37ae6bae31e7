"""Process that runs the workload under one share policy and prints its metrics."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import sys  # noqa: E402

import gevent  # noqa: E402
import numpy as np  # noqa: E402

from loomyard_standins.benches.bench_fleet import SINGLE, BenchFleet  # noqa: E402
from loomyard_standins.benches.child import announce, end_with_parent  # noqa: E402
from loomyard_standins.benches.control_workload import make_control_workload  # noqa: E402
from loomyard_standins.benches.driver import Driver  # noqa: E402
from loomyard_standins.benches.events import Events  # noqa: E402
from loomyard_standins.benches.figures import make_figures  # noqa: E402
from loomyard_standins.benches.landing import Landing  # noqa: E402
from loomyard_standins.benches.reading import read_counters  # noqa: E402
from loomyard_standins.benches.timeline import WARM_UP_SECONDS, Phase, Timeline  # noqa: E402
from loomyard_standins.benches.trace import Trace  # noqa: E402
from loomyard_standins.benches.workload import ROUTERS, USERS, Workload, make_workload  # noqa: E402

BEFORE_EVENTS = 0.3


def main() -> int:
    """Wait for a line on standard input, run the workload and print one JSON object."""
    options = _parse()
    workload = _make_workload(options)
    timeline = Timeline(calm=options.calm, flood=options.flood, event=options.event)
    routers = 1 if options.policy == SINGLE else options.routers
    fleet = BenchFleet(workload, policy=options.policy, routers=routers)
    try:
        fleet.start()
        announce(ready=True)
        sys.stdin.buffer.raw.readline()
        end_with_parent()
        trace = Trace(
            accounts=len(workload.accounts),
            services=len(workload.services),
            seconds=timeline.end,
        )
        landing = Landing(fleet.ports)
        driver = Driver(workload, timeline, trace, landing, options.seed)
        landing = Landing(fleet.ports)
        driver = Driver(workload, timeline, trace, landing, options.seed)
        warm = gevent.spawn_later(WARM_UP_SECONDS, read_counters, fleet)
        read_at = timeline.end_of(Phase.FLOOD) - BEFORE_EVENTS
        loaded = gevent.spawn_later(read_at, read_counters, fleet)
        events = Events(fleet, landing, timeline)
        if timeline.event and routers > 1:
            gevent.spawn(events.run, trace.started)
        driver.run(idle=options.idle)
        before, after = warm.get(timeout=1.0), loaded.get(timeout=1.0)
        report = fleet.end_engines()
    finally:
        fleet.stop()
    figures = make_figures(workload, timeline, trace, driver, report, (before, after))
    if timeline.event:
        figures["restarted_configured_after_s"] = events.configured_after
    if options.trace:
        np.savez_compressed(options.trace, service=trace.service)
    announce(**figures)
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
