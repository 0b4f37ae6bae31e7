"""Compare the share policies in virtual time: ``python -m loomyard_standins.share_rounds``."""

from __future__ import annotations

import json
import random
import sys
import time

import attrs

from loomyard_standins.share_driver import Load, ShareDriver

ACCOUNTS = 16
ROUTERS = 8
POLICIES = ("single", "local", "fifo", "fleet")


def one_service_loads(seed: int) -> list[Load]:
    """Return 16 accounts that are always backlogged, each sticky on one or two routers."""
    chance = random.Random(seed)
    loads = []
    for number in range(ACCOUNTS):
        mean = 150 * (2000 / 150) ** (number / (ACCOUNTS - 1))
        routers = tuple(chance.sample(range(ROUTERS), chance.choice((1, 2))))
        loads.append(
            Load(
                account=f"account-{number}", service="s", mean=mean, outstanding=30, routers=routers
            )
        )
    return loads


def main() -> None:
    """Run the scenarios and print one line for each."""
    policies = sys.argv[1].split(",") if len(sys.argv) > 1 else POLICIES
    seconds = float(sys.argv[2]) if len(sys.argv) > 2 else 60.0
    seeds = int(sys.argv[3]) if len(sys.argv) > 3 else 1
    for policy in policies:
        for seed in range(1, seeds + 1):
            started = time.monotonic()
            driver = ShareDriver(policy, one_service_loads(seed), engines={"s": (12, 8)}, seed=seed)
            figures = attrs.asdict(driver.run(seconds))
            took = round(time.monotonic() - started, 1)
            print(
                json.dumps({"scenario": "one", "seed": seed, **figures, "took": took}),
                driver.gap_at,
                flush=True,
            )


if __name__ == "__main__":
    main()
