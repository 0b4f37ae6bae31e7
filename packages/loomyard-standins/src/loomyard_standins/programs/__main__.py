"""Soak the real programs under faults drawn from a seed; print a JSON report per seed."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import json  # noqa: E402
import random  # noqa: E402
import shutil  # noqa: E402
import signal  # noqa: E402
import sys  # noqa: E402
import tempfile  # noqa: E402
from pathlib import Path  # noqa: E402

import gevent  # noqa: E402

from loomyard_standins.programs.soak_run import SoakRun  # noqa: E402

FAULT_SECONDS = 30.0
FAULT_PERIOD_SECONDS = 1.5
ROUTERS = 3


def main() -> int:
    """Run the seeds one after the other; return 1 after any violation, whose logs are kept."""
    arguments = _parse()
    # On SIGTERM stop the programs of the run before exiting.
    gevent.signal_handler(signal.SIGTERM, gevent.getcurrent().throw, SystemExit(1))
    first_seed = arguments.seed
    failed_seeds = 0
    for seed in range(first_seed, first_seed + arguments.seeds):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        run = SoakRun(
            folder,
            seed=seed,
            seconds=arguments.seconds,
            every=arguments.every,
            routers=arguments.routers,
            router_memory=arguments.memory_mb << 20,
        )
        report = run.execute()
        failed_seeds += bool(run.violations)
        for violation in run.violations:
            print(f"seed {seed}: {violation.invariant.name}: {violation.detail}")
        if run.violations:
            print(f"seed {seed}: logs in {folder}")
        else:
            shutil.rmtree(folder)
        print(json.dumps(report), flush=True)
    return 1 if failed_seeds else 0


def _parse() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=random.SystemRandom().randrange(2**31))
    parser.add_argument(
        "--seeds", type=int, default=1, help="number of seeds, counted up from the first"
    )
    parser.add_argument(
        "--seconds", type=float, default=FAULT_SECONDS, help="duration of the faults of each seed"
    )
    parser.add_argument(
        "--every", type=float, default=FAULT_PERIOD_SECONDS, help="mean seconds between faults"
    )
    parser.add_argument("--routers", type=int, default=ROUTERS)
    parser.add_argument(
        "--memory-mb", type=int, default=0, help="limit of the address space of each router"
    )
    return parser.parse_args()


if __name__ == "__main__":
    sys.exit(main())
