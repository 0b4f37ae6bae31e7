"""Comparison of the share policies: ``python -m loomyard_standins.share_rounds``."""

from __future__ import annotations

import argparse
import json
import random
from typing import TYPE_CHECKING

import attrs

from loomyard_standins.share_driver import DETECTION_DELAY, ShareDriver
from loomyard_standins.share_load import Load

if TYPE_CHECKING:
    from collections.abc import Callable

ACCOUNTS = 16
ROUTERS = 8


def one_service_loads(seed: int) -> list[Load]:
    """Return 16 accounts with a constant backlog, each using one or two fixed routers."""
    rng = random.Random(seed)
    loads = []
    for number in range(ACCOUNTS):
        mean = 150 * (2000 / 150) ** (number / (ACCOUNTS - 1))
        routers = tuple(rng.sample(range(ROUTERS), rng.choice((1, 2))))
        loads.append(
            Load(
                account=f"account-{number}", service="s", mean=mean, outstanding=30, routers=routers
            )
        )
    return loads


def many_service_loads(seed: int) -> list[Load]:
    """Return 16 accounts over 6 language and 3 plain services, most of them on several."""
    rng = random.Random(seed)
    loads = []
    for number in range(ACCOUNTS):
        mean = 150 * (2000 / 150) ** (number / (ACCOUNTS - 1))
        routers = tuple(rng.sample(range(ROUTERS), rng.choice((1, 2))))
        services = rng.sample(LANGUAGE_SERVICES, rng.choice((1, 2, 3)))
        services += rng.sample(PLAIN_SERVICES, rng.choice((0, 1)))
        for service in services:
            plain = service in PLAIN_SERVICES
            loads.append(
                Load(
                    account=f"account-{number}",
                    service=service,
                    mean=60.0 if plain else mean,
                    outstanding=16,
                    routers=routers,
                )
            )
    return loads


def idle_loads(seed: int) -> list[Load]:
    """Return 16 accounts; every other one alternates 7 s of load, 5 s idle at its own times."""
    rng = random.Random(seed)
    loads = []
    for number, load in enumerate(one_service_loads(seed)):
        if number % 2:
            begin = rng.uniform(0, 5)
            spans = tuple((begin + 12 * n, begin + 12 * n + 7) for n in range(10))
            load = attrs.evolve(load, spans=spans)
        loads.append(load)
    return loads


def kill(driver: ShareDriver) -> None:
    """Kill a router, later the allocator, and restart each without state after 7 s."""
    for at, position in ((20.0, 0), (40.0, driver.find_allocator())):
        driver.agenda.after(at, lambda position=position: driver.kill_router(position))
        driver.agenda.after(at, driver.restart_warm_up)
        driver.agenda.after(at + 7, lambda position=position: driver.restart_router(position))
        driver.agenda.after(at + 7, driver.restart_warm_up)


def partition(driver: ShareDriver) -> None:
    """Cut three routers off for 10 seconds."""
    driver.agenda.after(20.0, lambda: driver.cut({0, 1, 2}))
    driver.agenda.after(30.0, driver.heal)
    # During the cut a side lacks the usage of the other, so only the time after it is measured.
    driver.agenda.after(20.0, lambda: driver.restart_warm_up(DETECTION_DELAY + 12.0))


LANGUAGE_SERVICES = [f"language-{number}" for number in range(6)]
PLAIN_SERVICES = [f"plain-{number}" for number in range(3)]
ONE_SERVICE = {"s": (12, 8)}
MANY_SERVICES = {name: (2, 8) for name in LANGUAGE_SERVICES} | {
    name: (1, 8) for name in PLAIN_SERVICES
}
SCENARIOS: dict[str, tuple[Callable[[int], list[Load]], dict, Callable[[ShareDriver], None]]] = {
    "calm": (one_service_loads, ONE_SERVICE, lambda driver: None),
    "idle": (idle_loads, ONE_SERVICE, lambda driver: None),
    "kill": (one_service_loads, ONE_SERVICE, kill),
    "partition": (one_service_loads, ONE_SERVICE, partition),
    "many": (many_service_loads, MANY_SERVICES, lambda driver: None),
}


def main() -> None:
    """Run the scenarios and print one JSON line of metrics for each run."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--policies", default="single,local,fifo,fleet")
    parser.add_argument("--scenarios", default=",".join(SCENARIOS))
    parser.add_argument("--seconds", type=float, default=80.0)
    parser.add_argument("--seeds", type=int, default=3)
    options = parser.parse_args()
    for scenario in options.scenarios.split(","):
        for policy in options.policies.split(","):
            for seed in range(1, options.seeds + 1):
                metrics = run(scenario, policy, seed, options.seconds)
                print(json.dumps({"scenario": scenario, "seed": seed, **metrics}), flush=True)


def run(scenario: str, policy: str, seed: int, seconds: float) -> dict[str, object]:
    """Run a scenario with a policy; return its metrics by name."""
    make_loads, engines, plan = SCENARIOS[scenario]
    driver = ShareDriver(policy, make_loads(seed), engines=engines, seed=seed)
    if policy != "single":
        plan(driver)
    metrics = driver.run(seconds)
    return attrs.asdict(metrics)


if __name__ == "__main__":
    main()
