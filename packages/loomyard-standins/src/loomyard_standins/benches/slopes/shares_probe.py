"""Cost of the fleet policy against the number of routers, at a constant load of each."""

from __future__ import annotations

import random

from loomyard_standins.benches.slopes.call_timer import CallTimer
from loomyard_standins.benches.slopes.sample import Sample
from loomyard_standins.benches.slopes.usage import resident_bytes
from loomyard_standins.share_driver import ShareDriver
from loomyard_standins.share_load import Load

# The load expected in two years, scaled down to each size.
ROUTERS = 360
ACCOUNTS = 3_100
TARGETS = 600
SLOTS = 8
SERVICES = 8
MEAN_TOKENS = 283.0
ROUTERS_PER_ACCOUNT = 3
OUTSTANDING = 6
BYTE_RATE = 7000.0
WARM_SECONDS = 10.0
TIMED_SECONDS = 10.0
SAMPLE_INTERVAL = 0.25


class SharesProbe:
    """CPU time and traffic of the allocator and of one other router."""

    sizes = (20, 45, 90, 180)

    def measure(self, size: int) -> Sample:
        """Simulate ``size`` routers and measure TIMED_SECONDS after a warm-up."""
        before = resident_bytes()
        driver = _make_driver(size)
        allocator = driver.find_allocator()
        other = (allocator + 1) % size
        allocating, routing = CallTimer(), CallTimer()
        policy = driver.policies[allocator]
        allocating.wrap(policy.allocator, "handle_report")
        allocating.wrap(policy.allocator, "poll")
        reporter = driver.policies[other]._reporter
        routing.wrap(reporter, "poll")
        routing.wrap(reporter, "accept")
        driver.run(WARM_SECONDS)
        allocating.seconds = routing.seconds = 0.0
        names = f"router-{allocator}", f"router-{other}"
        served = dict(driver.served)
        utilisation = _UtilisationMeter(driver)
        sent = [(driver.network.messages[n], driver.network.bytes[n]) for n in names]
        driver.agenda.run(WARM_SECONDS + TIMED_SECONDS)
        quantities = {
            "allocator_cores": allocating.seconds / TIMED_SECONDS,
            "router_cores": routing.seconds / TIMED_SECONDS,
            "driver_rss_bytes": resident_bytes() - before,
            "utilisation_percent": utilisation.percent,
            "service_spread_tokens": _spread(driver, served),
        }
        kinds = ("allocator", "router")
        for kind, name, (messages, size_bytes) in zip(kinds, names, sent, strict=True):
            sent_now = driver.network.messages[name] - messages
            bytes_now = driver.network.bytes[name] - size_bytes
            quantities[f"{kind}_messages_per_second"] = sent_now / TIMED_SECONDS
            quantities[f"{kind}_bytes_per_second"] = bytes_now / TIMED_SECONDS
        return Sample(size=size, quantities=quantities)


class _UtilisationMeter:
    """Samples the busy share of all slots."""

    def __init__(self, driver: ShareDriver) -> None:
        self._driver = driver
        self._samples: list[float] = []
        driver.agenda.every(SAMPLE_INTERVAL, self._sample)

    @property
    def percent(self) -> float:
        return 100 * sum(self._samples) / len(self._samples)

    def _sample(self) -> None:
        engines = self._driver.engines.values()
        busy = sum(engine.running for engine in engines)
        self._samples.append(busy / sum(engine.slots for engine in engines))


def _spread(driver: ShareDriver, before: dict[str, float]) -> float:
    """Return the largest difference of service between two accounts, which all have a backlog."""
    gained = [driver.served[name] - before.get(name, 0) for name in driver.routing.accounts]
    return max(gained) - min(gained)


def _make_driver(size: int) -> ShareDriver:
    rng = random.Random(size)
    accounts = round(ACCOUNTS * size / ROUTERS)
    loads = [
        Load(
            account=f"account-{number}",
            service=f"service-{number % SERVICES}",
            mean=MEAN_TOKENS,
            outstanding=OUTSTANDING,
            routers=tuple(rng.sample(range(size), ROUTERS_PER_ACCOUNT)),
        )
        for number in range(accounts)
    ]
    targets = max(1, round(TARGETS * size / ROUTERS / SERVICES))
    engines = {f"service-{number}": (targets, SLOTS) for number in range(SERVICES)}
    return ShareDriver(
        "fleet", loads, routers=size, engines=engines, settle=1e9, byte_rate=BYTE_RATE
    )
