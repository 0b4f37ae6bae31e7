"""One run of one policy, as a process of its own that prints its figures."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import sys  # noqa: E402

import gevent  # noqa: E402
import numpy as np  # noqa: E402

from loomyard_standins.benches.bench_fleet import SINGLE, BenchFleet  # noqa: E402
from loomyard_standins.benches.child import announce  # noqa: E402
from loomyard_standins.benches.driver import Driver  # noqa: E402
from loomyard_standins.benches.events import Events  # noqa: E402
from loomyard_standins.benches.figures import make_figures  # noqa: E402
from loomyard_standins.benches.landing import Landing  # noqa: E402
from loomyard_standins.benches.reading import read_counters  # noqa: E402
from loomyard_standins.benches.timeline import Phase, Timeline  # noqa: E402
from loomyard_standins.benches.trace import Trace  # noqa: E402
from loomyard_standins.benches.workload import ROUTERS, USERS, make_workload  # noqa: E402

BEFORE_EVENTS = 0.3


def main() -> int:
    """Run and print one JSON object."""
    options = _parse()
    workload = make_workload(options.user)
    timeline = Timeline(calm=options.calm, flood=options.flood, event=options.event)
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
        landing = Landing(fleet.ports)
        driver = Driver(workload, timeline, trace, landing, options.seed)
        landing = Landing(fleet.ports)
        driver = Driver(workload, timeline, trace, landing, options.seed)
        before = read_counters(fleet)
        read_at = timeline.end_of(Phase.FLOOD) - BEFORE_EVENTS
        loaded = gevent.spawn_later(read_at, read_counters, fleet)
        if timeline.event and routers > 1:
            gevent.spawn_later(0.0, Events(fleet, landing, timeline).run, trace.started)
        driver.run()
        after = loaded.get(timeout=1.0)
        report = fleet.end_engines()
    finally:
        fleet.stop()
    figures = make_figures(workload, timeline, trace, driver, report, (before, after))
    if options.trace:
        np.savez_compressed(options.trace, service=trace.service)
    announce(**figures)
    return 0


def _parse() -> argparse.Namespace:
    parser = argparse.ArgumentParser()
    parser.add_argument("--policy", required=True)
    parser.add_argument("--user", choices=USERS, default=USERS[0])
    parser.add_argument("--routers", type=int, default=ROUTERS)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--calm", type=float, default=20.0)
    parser.add_argument("--flood", type=float, default=10.0)
    parser.add_argument("--event", type=float, default=0.0)
    parser.add_argument("--trace", default="", help="file for the service over time")
    return parser.parse_args()


if __name__ == "__main__":
    sys.exit(main())
