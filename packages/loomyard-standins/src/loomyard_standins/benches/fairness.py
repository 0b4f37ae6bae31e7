"""``make bench-fairness``: the share policies side by side under the same load."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import json  # noqa: E402
import os  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402

from loomyard_standins.benches.child import Child  # noqa: E402
from loomyard_standins.benches.workload import USERS  # noqa: E402

POLICIES = ("single", "fleet", "local", "fifo")
SLACK_SECONDS = 30.0


def main() -> int:
    """Run the policies at the same time and print one JSON object."""
    options = _parse()
    arguments = [f"--{name}={getattr(options, name)}" for name in ("user", "seed", "calm", "flood")]
    runs: dict[str, Child] = {}
    started = time.monotonic()
    try:
        for policy in options.policies.split(","):
            runs[policy] = Child("policy_run", f"--policy={policy}", *arguments)
        for run in runs.values():
            run.read()
        idle = _idle_ticks()
        for run in runs.values():
            run.write(b"go\n")
        seconds = options.calm + options.flood + SLACK_SECONDS
        figures = {policy: run.read(seconds) for policy, run in runs.items()}
    finally:
        for run in runs.values():
            run.kill()
    machine = {"idle_cores": _idle_ticks() - idle}
    result = {
        "user": options.user,
        "seed": options.seed,
        "seconds": round(time.monotonic() - started, 1),
        "machine": machine,
        "policies": figures,
    }
    print(json.dumps(result))
    return 0


def _idle_ticks() -> float:
    with open("/proc/stat") as file:
        return int(file.readline().split()[4]) / os.sysconf("SC_CLK_TCK")


def _parse() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description="Measure gap and utilisation per policy.")
    parser.add_argument("--policies", default=",".join(POLICIES))
    parser.add_argument("--user", choices=USERS, default=USERS[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--calm", type=float, default=24.0)
    parser.add_argument("--flood", type=float, default=12.0)
    return parser.parse_args()


if __name__ == "__main__":
    sys.exit(main())
