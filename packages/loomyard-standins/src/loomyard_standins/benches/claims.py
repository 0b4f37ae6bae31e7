"""Benchmark of idempotency claims: log appends per request and added latency.

Each case runs routers in one process over a network and a log service with fixed delays. In the
mode ``hosts`` the routers know each other and append through the host of each partition; in the
mode ``direct`` each router appends by itself. CPU time is that of the whole process: claiming
routers, hosts, log service and load generator. The last line of output is JSON.
"""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import itertools  # noqa: E402
import json  # noqa: E402
import random  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402
from typing import Any  # noqa: E402

import gevent  # noqa: E402
from attrs import asdict, define, field, frozen  # noqa: E402
from hdrh.histogram import HdrHistogram  # noqa: E402
from result import Ok  # noqa: E402

from loomyard.clock import SystemClock  # noqa: E402
from loomyard_router.claims.claim_coordinator import Claim, ClaimKey, RecordedOutcome  # noqa: E402
from loomyard_router.claims.log_claims import LogClaims, make_log_claims  # noqa: E402
from loomyard_router.members.membership import Member  # noqa: E402
from loomyard_standins.log_service import MemoryLog  # noqa: E402
from loomyard_standins.memory_network import MemoryNetwork  # noqa: E402

SECONDS = 2.0
WARM_UP_SECONDS = 0.3
DRAIN_SECONDS = 0.5
PEER_DELAY_SECONDS = 0.0015
TARGET_SECONDS = 0.01
TIMEOUT_SECONDS = 10.0
CLAIM_WINDOW_SECONDS = 600.0
MAX_MICROSECONDS = 60_000_000
BODY = b'{"receipt": 123456, "bay": 7, "state": "swapped"}'
MODES = ("hosts", "direct")
ROUTERS = (4, 16)
RATES_PER_SECOND = (20, 300)
LOG_DELAYS_SECONDS = (0.002, 0.05)


@frozen(kw_only=True)
class Case:
    """One case; ``rate`` is requests per second of all routers, ``log_delay`` is in seconds."""

    mode: str
    routers: int
    rate: int
    log_delay: float


@define(kw_only=True)
class CaseMetrics:
    """Results of one case; latencies run from ``claim`` until ``begin`` is granted."""

    requests: int = 0
    refused: int = 0
    appends: int = 0
    bytes: int = 0
    appends_per_request: float = 0.0
    appends_per_second: float = 0.0
    bytes_per_request: float = 0.0
    cpu_ms_per_request: float = 0.0
    p50_ms: float = 0.0
    p99_ms: float = 0.0


class FixedMembership:
    """Membership with a fixed set of live routers."""

    def __init__(self, own: Member, live: list[Member]) -> None:
        self.own = own
        self._live = tuple(live)

    def live(self) -> tuple[Member, ...]:
        return self._live

    def find(self, name: str) -> Member | None:
        return next((member for member in self._live if member.name == name), None)

    def suspect(self, name: str) -> None:
        pass

    def subscribe(self, changed: Any) -> None:
        pass


@define(eq=False)
class LoadGenerator:
    """Load generator: Poisson arrivals at random routers of a case."""

    case: Case
    coordinators: list[LogClaims]
    clock: SystemClock
    metrics: CaseMetrics = field(factory=CaseMetrics)
    latency: HdrHistogram = field(factory=lambda: HdrHistogram(1, MAX_MICROSECONDS, 3))

    def run(self) -> None:
        """Send requests at the rate of the case and wait for the last one."""
        numbers = itertools.count()
        rng = random.Random(1)
        started = time.monotonic()
        tasks = []
        due = started
        while due < started + SECONDS:
            gevent.sleep(max(0.0, due - time.monotonic()))
            tasks.append(gevent.spawn(self._request, rng.choice(self.coordinators), next(numbers)))
            due += rng.expovariate(self.case.rate)
        gevent.joinall(tasks, raise_error=True)
        gevent.sleep(DRAIN_SECONDS + 4 * self.case.log_delay)

    def _request(self, coordinator: LogClaims, number: int) -> None:
        key = ClaimKey(account="kiosk", key=f"{self.case}-{number}", fingerprint=b"f" * 16)
        started = time.monotonic()
        deadline = self.clock.now() + TIMEOUT_SECONDS
        match coordinator.claim(key, deadline):
            case Ok(Claim() as claim):
                pass
            case _:
                self.metrics.refused += 1
                return
        if coordinator.begin(claim, deadline).is_err():
            self.metrics.refused += 1
            return
        self.latency.record_value(int(1e6 * (time.monotonic() - started)))
        self.metrics.requests += 1
        gevent.sleep(TARGET_SECONDS)
        coordinator.finish(claim, RecordedOutcome(status=201, content_type="text/plain", body=BODY))


class CountingLog(MemoryLog):
    """In-memory log that counts appends and bytes."""

    bytes = 0

    def append(self, stream: str, payload: bytes) -> Any:
        self.bytes += len(payload)
        return super().append(stream, payload)


def run_case(case: Case) -> CaseMetrics:
    """Run the routers and the load of one case and return its metrics."""
    clock = SystemClock()
    log = CountingLog()
    network = MemoryNetwork()
    members = [
        Member(name=f"router-{n}", incarnation=n, address="", data_centre="")
        for n in range(case.routers)
    ]
    coordinators = [
        make_log_claims(
            log=log,
            clock=clock,
            members=FixedMembership(own, members if case.mode == "hosts" else [own]),
            peers=network.join(own),
            window=CLAIM_WINDOW_SECONDS,
        )
        for own in members
    ]
    for coordinator in coordinators:
        coordinator.start()
    gevent.sleep(WARM_UP_SECONDS)
    network.delay = PEER_DELAY_SECONDS
    log.delay = case.log_delay
    load = LoadGenerator(case, coordinators, clock)
    started = time.process_time()
    load.run()
    metrics = load.metrics
    cpu_seconds = time.process_time() - started
    metrics.appends, metrics.bytes = log.appends, log.bytes
    for coordinator in coordinators:
        coordinator.stop()
    requests = max(1, metrics.requests)
    metrics.appends_per_request = round(metrics.appends / requests, 3)
    metrics.appends_per_second = round(metrics.appends / SECONDS, 1)
    metrics.bytes_per_request = round(metrics.bytes / requests, 1)
    metrics.cpu_ms_per_request = round(1000 * cpu_seconds / requests, 3)
    metrics.p50_ms = load.latency.get_value_at_percentile(50) / 1000
    metrics.p99_ms = load.latency.get_value_at_percentile(99) / 1000
    return metrics


def main() -> int:
    """Run all cases and print a table, then JSON."""
    rows = []
    print(
        "mode routers rate/s log-ms requests refused appends/req appends/s B/req cpu-ms/req p50-ms"
        " p99-ms"
    )
    for mode, routers, rate, delay in itertools.product(
        MODES, ROUTERS, RATES_PER_SECOND, LOG_DELAYS_SECONDS
    ):
        case = Case(mode=mode, routers=routers, rate=rate, log_delay=delay)
        metrics = run_case(case)
        rows.append(asdict(case) | asdict(metrics))
        print(
            f"{mode:6} {routers:5} {rate:6} {1000 * delay:6.0f} {metrics.requests:8}"
            f" {metrics.refused:7} {metrics.appends_per_request:11.3f}"
            f" {metrics.appends_per_second:9.1f} {metrics.bytes_per_request:5.0f}"
            f" {metrics.cpu_ms_per_request:10.3f}"
            f" {metrics.p50_ms:6.1f} {metrics.p99_ms:6.1f}",
            flush=True,
        )
    print(json.dumps({"bench": "claims", "seconds": SECONDS, "cases": rows}))
    return 0


if __name__ == "__main__":
    sys.exit(main())
