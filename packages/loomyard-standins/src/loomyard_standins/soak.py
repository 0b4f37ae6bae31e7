"""Soak test: random sequences of faults in several processes; the last line is JSON."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import json  # noqa: E402
import logging  # noqa: E402
import random  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402

from gevent import subprocess  # noqa: E402

from loomyard_standins.faults.fault_event import draw_sequence  # noqa: E402
from loomyard_standins.faults.sequences import run_sequence  # noqa: E402

SEQUENCES = 2000
WORKERS = 4
WORKER_SECONDS = 280.0  # a worker starts no sequence later than this
SHOWN_VIOLATIONS = 3


def main() -> int:
    """Run the sequences of a seed; fail on any violation or sequence not run."""
    arguments = _parse()
    if arguments.worker is not None:
        return _run_worker(arguments)
    print(f"seed {arguments.seed}", flush=True)
    started = time.monotonic()
    workers = [_start_worker(arguments, number) for number in range(arguments.workers)]
    counts = {"sequences": 0, "faults": 0, "violations": 0}
    for worker in workers:
        lines = worker.communicate()[0].decode().splitlines()
        for line in lines[:-1]:
            print(line)
        for name, count in json.loads(lines[-1]).items():
            counts[name] += count
    seconds = round(time.monotonic() - started, 1)
    print(json.dumps({"seed": arguments.seed, **counts, "seconds": seconds}), flush=True)
    complete = counts["sequences"] == arguments.sequences
    return 0 if complete and not counts["violations"] else 1


def _parse() -> argparse.Namespace:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=random.SystemRandom().randrange(2**32))
    parser.add_argument("--sequences", type=int, default=SEQUENCES)
    parser.add_argument("--workers", type=int, default=WORKERS)
    parser.add_argument("--worker", type=int, help="run only the sequences of this worker")
    parser.add_argument("--only", type=int, help="run only the sequence with this number")
    return parser.parse_args()


def _start_worker(arguments: argparse.Namespace, number: int) -> subprocess.Popen:
    command = [sys.executable, "-m", "loomyard_standins.soak", "--worker", str(number)]
    for name in ("seed", "sequences", "workers"):
        command += [f"--{name}", str(getattr(arguments, name))]
    if arguments.only is not None:
        command += ["--only", str(arguments.only)]
    return subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL)


def _run_worker(arguments: argparse.Namespace) -> int:
    logging.disable(logging.CRITICAL)
    until = time.monotonic() + WORKER_SECONDS
    counts = {"sequences": 0, "faults": 0, "violations": 0}
    for number in range(arguments.worker, arguments.sequences, arguments.workers):
        if time.monotonic() > until:
            break
        if arguments.only not in (None, number):
            continue
        sequence = draw_sequence(random.Random(f"{arguments.seed}/{number}"))
        violations = run_sequence(sequence)
        counts["sequences"] += 1
        counts["faults"] += len(sequence)
        counts["violations"] += len(violations)
        if violations:
            print(f"sequence {number}: {sequence}")
            for violation in violations[:SHOWN_VIOLATIONS]:
                print(f"  {violation.invariant.name}: {violation.detail}")
    print(json.dumps(counts), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
