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
WARM_SECONDS = 0.3
DRAIN_SECONDS = 0.5
PEER_DELAY = 0.0015
TARGET_SECONDS = 0.01
TIMEOUT = 10.0
WINDOW = 600.0
MAX_MICROSECONDS = 60_000_000
BODY = b'{"receipt": 123456, "bay": 7, "state": "swapped"}'
MODES = ("hosts", "direct")
ROUTERS = (4, 16)
RATES = (20, 300)
LOG_DELAYS = (0.002, 0.05)


@frozen(kw_only=True)
class Case:
    """One case; ``rate`` is requests per second of all routers, ``log_delay`` is in seconds."""

    mode: str
    routers: int
    rate: int
    log_delay: float


@define(kw_only=True)
class Figures:
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


class FixedView:
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
class Load:
    """Load generator: Poisson arrivals at random routers of a case."""

    case: Case
    keepers: list[LogClaims]
    clock: SystemClock
    figures: Figures = field(factory=Figures)
    latency: HdrHistogram = field(factory=lambda: HdrHistogram(1, MAX_MICROSECONDS, 3))

    def run(self) -> None:
        """Send requests at the rate of the case and wait for the last one."""
        numbers = itertools.count()
        draw = random.Random(1)
        started = time.monotonic()
        tasks = []
        due = started
        while due < started + SECONDS:
            gevent.sleep(max(0.0, due - time.monotonic()))
            tasks.append(gevent.spawn(self._request, draw.choice(self.keepers), next(numbers)))
            due += draw.expovariate(self.case.rate)
        gevent.joinall(tasks, raise_error=True)
        gevent.sleep(DRAIN_SECONDS + 4 * self.case.log_delay)

    def _request(self, keeper: LogClaims, number: int) -> None:
        key = ClaimKey(account="kiosk", key=f"{self.case}-{number}", fingerprint=b"f" * 16)
        started = time.monotonic()
        deadline = self.clock.now() + TIMEOUT
        match keeper.claim(key, deadline):
            case Ok(Claim() as claim):
                pass
            case _:
                self.figures.refused += 1
                return
        if keeper.begin(claim, deadline).is_err():
            self.figures.refused += 1
            return
        self.latency.record_value(int(1e6 * (time.monotonic() - started)))
        self.figures.requests += 1
        gevent.sleep(TARGET_SECONDS)
        keeper.finish(claim, RecordedOutcome(status=201, content_type="text/plain", body=BODY))


class CountingLog(MemoryLog):
    """In-memory log that counts appends and bytes."""

    bytes = 0

    def append(self, stream: str, payload: bytes) -> Any:
        self.bytes += len(payload)
        return super().append(stream, payload)


def run_case(case: Case) -> Figures:
    """Run the routers and the load of one case and return its metrics."""
    clock = SystemClock()
    log = CountingLog()
    network = MemoryNetwork()
    members = [
        Member(name=f"router-{n}", incarnation=n, address="", data_centre="")
        for n in range(case.routers)
    ]
    keepers = [
        make_log_claims(
            log=log,
            clock=clock,
            members=FixedView(own, members if case.mode == "hosts" else [own]),
            peers=network.join(own),
            window=WINDOW,
        )
        for own in members
    ]
    for keeper in keepers:
        keeper.start()
    gevent.sleep(WARM_SECONDS)
    network.delay = PEER_DELAY
    log.delay = case.log_delay
    load = Load(case, keepers, clock)
    started = time.process_time()
    load.run()
    figures = load.figures
    processor = time.process_time() - started
    figures.appends, figures.bytes = log.appends, log.bytes
    for keeper in keepers:
        keeper.stop()
    requests = max(1, figures.requests)
    figures.appends_per_request = round(figures.appends / requests, 3)
    figures.appends_per_second = round(figures.appends / SECONDS, 1)
    figures.bytes_per_request = round(figures.bytes / requests, 1)
    figures.cpu_ms_per_request = round(1000 * processor / requests, 3)
    figures.p50_ms = load.latency.get_value_at_percentile(50) / 1000
    figures.p99_ms = load.latency.get_value_at_percentile(99) / 1000
    return figures


def main() -> int:
    """Run all cases and print a table, then JSON."""
    rows = []
    print(
        "mode routers rate/s log-ms requests refused appends/req appends/s B/req cpu-ms/req p50-ms"
        " p99-ms"
    )
    for mode, routers, rate, delay in itertools.product(MODES, ROUTERS, RATES, LOG_DELAYS):
        case = Case(mode=mode, routers=routers, rate=rate, log_delay=delay)
        figures = run_case(case)
        rows.append(asdict(case) | asdict(figures))
        print(
            f"{mode:6} {routers:5} {rate:6} {1000 * delay:6.0f} {figures.requests:8}"
            f" {figures.refused:7} {figures.appends_per_request:11.3f}"
            f" {figures.appends_per_second:9.1f} {figures.bytes_per_request:5.0f}"
            f" {figures.cpu_ms_per_request:10.3f}"
            f" {figures.p50_ms:6.1f} {figures.p99_ms:6.1f}",
            flush=True,
        )
    print(json.dumps({"bench": "claims", "seconds": SECONDS, "cases": rows}))
    return 0


if __name__ == "__main__":
    sys.exit(main())
