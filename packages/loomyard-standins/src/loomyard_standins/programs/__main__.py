"""Soak the real programs: faults from outside, drawn from a seed; the last line is JSON."""

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

SECONDS = 30.0
EVERY = 1.5
ROUTERS = 3


def main() -> int:
    """Run some seeds one after the other; fail with any breach, whose logs are kept."""
    arguments = _parse()
    # Told to end, a run ends its programs first.
    gevent.signal_handler(signal.SIGTERM, gevent.getcurrent().throw, SystemExit(1))
    first = arguments.seed
    broken = 0
    for seed in range(first, first + arguments.seeds):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        run = SoakRun(
            folder,
            seed=seed,
            seconds=arguments.seconds,
            every=arguments.every,
            routers=arguments.routers,
        )
        report = run.play()
        broken += bool(run.breaches)
        for breach in run.breaches:
            print(f"seed {seed}: {breach.promise.name}: {breach.detail}")
        if run.breaches:
            print(f"seed {seed}: logs in {folder}")
        else:
            shutil.rmtree(folder)
        print(json.dumps(report), flush=True)
    return 1 if broken else 0


def _parse() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=random.SystemRandom().randrange(2**31))
    parser.add_argument("--seeds", type=int, default=1, help="how many, from the first on")
    parser.add_argument("--seconds", type=float, default=SECONDS, help="of faults, in each")
    parser.add_argument("--every", type=float, default=EVERY, help="seconds between faults")
    parser.add_argument("--routers", type=int, default=ROUTERS)
    return parser.parse_args()


if __name__ == "__main__":
    sys.exit(main())
