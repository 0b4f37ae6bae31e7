"""Benchmark of prefix locality: cache hit rate, latency, slot waits and load imbalance."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import json  # noqa: E402
import random  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402
from collections import Counter  # noqa: E402

import gevent  # noqa: E402
from attrs import define, field, frozen  # noqa: E402
from gevent.event import Event  # noqa: E402
from hdrh.histogram import HdrHistogram  # noqa: E402

from loomyard.clock import SystemClock  # noqa: E402
from loomyard.configuration import Change, ConfigState, Put, fold  # noqa: E402
from loomyard.external.engine import Engine, TargetCall  # noqa: E402
from loomyard.objects import Metadata, Service, Target  # noqa: E402
from loomyard.prompt_prefixes import prompt_prefix_digest  # noqa: E402
from loomyard.routing import Routing  # noqa: E402
from loomyard_router.members.membership import Member, SoleMembership  # noqa: E402
from loomyard_router.peers.no_peers import NoPeers  # noqa: E402
from loomyard_router.targets.choosing import LOCALITY_MARGIN, Candidate, choose  # noqa: E402
from loomyard_router.targets.http_engine import make_http_engine  # noqa: E402
from loomyard_router.targets.known_targets import KnownTargets, make_known_targets  # noqa: E402
from loomyard_standins.engine import EngineServer  # noqa: E402

SEED = 7
SECONDS = 6.0
ENGINES = 8
SLOTS = 8
ROUTERS = 4
STEP_SECONDS = 0.01
PREFILL_SECONDS = 0.1
CACHED_PREFIXES = 40
PREFIXES = 320
ZIPF_EXPONENT = 1.0
MEAN_TOKENS = 10
LOW_RATE_PER_SECOND = 220.0
HIGH_RATE_PER_SECOND = 330.0
SAMPLE_SECONDS = 0.05
MAX_MILLISECONDS = 60_000
SERVICE = "assistant"


@frozen(kw_only=True)
class Mode:
    """A way to choose targets: by prefix or not, locality margin, cache events received or not.

    ``rate`` is in requests per second.
    """

    name: str
    rate: float
    locality: bool
    margin: float = LOCALITY_MARGIN
    events: bool = True


MODES = (
    Mode(name="freest", rate=LOW_RATE_PER_SECOND, locality=False),
    Mode(name="locality", rate=LOW_RATE_PER_SECOND, locality=True),
    Mode(name="locality_no_events", rate=LOW_RATE_PER_SECOND, locality=True, events=False),
    Mode(name="locality_no_bound", rate=LOW_RATE_PER_SECOND, locality=True, margin=1.0),
    Mode(name="freest_high", rate=HIGH_RATE_PER_SECOND, locality=False),
    Mode(name="locality_high", rate=HIGH_RATE_PER_SECOND, locality=True),
    Mode(name="locality_no_bound_high", rate=HIGH_RATE_PER_SECOND, locality=True, margin=1.0),
)


@define(eq=False)
class Run:
    """One run of one mode: its engines, routers and measurements."""

    mode: Mode
    servers: list[EngineServer]
    targets: list[Target]
    routers: list[KnownTargets]
    engine: Engine
    in_flight: Counter[str] = field(factory=Counter)
    freed: Event = field(factory=Event)
    latency: HdrHistogram = field(factory=lambda: HdrHistogram(1, MAX_MILLISECONDS, 3))
    slot_waits: HdrHistogram = field(factory=lambda: HdrHistogram(1, MAX_MILLISECONDS, 3))
    imbalances: list[float] = field(factory=list)
    done: int = 0

    def request(self, number: int, router: KnownTargets, prompt: str, tokens: int) -> None:
        """Choose a target with a free slot, send a request and read its answer."""
        document = {"model": SERVICE, "prompt": prompt, "max_tokens": tokens}
        prefix = prompt_prefix_digest(document)
        started = time.monotonic()
        target = self._acquire_slot(router, prefix if self.mode.locality else "")
        self.slot_waits.record_value(_milliseconds(started))
        name = target.metadata.name
        if self.mode.locality:
            router.record_prefix(name, prefix)
        call = TargetCall(
            attempt_id=f"{self.mode.name}-{number}",
            url=target.url,
            method="POST",
            path="/v1/completions",
            headers=[("Content-Type", "application/json")],
            body=json.dumps(document).encode(),
            deadline=time.monotonic() + 60.0,
        )
        answer = self.engine.open(call).unwrap()
        while answer.read().unwrap():
            pass
        answer.close()
        self.in_flight[name] -= 1
        self.freed.set()
        self.latency.record_value(_milliseconds(started))
        self.done += 1

    def sample_imbalance(self) -> None:
        """Sample the difference in slot use between the busiest and the idlest target."""
        while True:
            busy = [self.in_flight[target.metadata.name] for target in self.targets]
            self.imbalances.append((max(busy) - min(busy)) / SLOTS)
            gevent.sleep(SAMPLE_SECONDS)

    def _acquire_slot(self, router: KnownTargets, prefix: str) -> Target:
        while True:
            candidates = [
                Candidate(target=t, free=SLOTS - self.in_flight[t.metadata.name], slots=SLOTS)
                for t in self.targets
            ]
            target = choose(candidates, prefix, router, margin=self.mode.margin)
            if target is not None:
                self.in_flight[target.metadata.name] += 1
                return target
            self.freed.clear()
            self.freed.wait()


def main() -> int:
    """Run each mode with the same random seed and print one JSON object."""
    metrics = {mode.name: _measure(mode) for mode in MODES}
    print(json.dumps({"bench": "locality", "seed": SEED, "modes": metrics}))
    return 0


def _measure(mode: Mode) -> dict[str, float]:
    run = _prepare(mode)
    for router in run.routers:
        router.start()
    sampler = gevent.spawn(run.sample_imbalance)
    calls = _send_requests(run)
    gevent.joinall(calls, raise_error=True)
    sampler.kill()
    for router in run.routers:
        router.stop()
    for server in run.servers:
        server.stop()
    hits = sum(server.cache.hits for server in run.servers)
    misses = sum(server.cache.misses for server in run.servers)
    metrics = {
        "requests": run.done,
        "hit_rate": round(hits / (hits + misses), 4),
        "latency_p50_ms": run.latency.get_value_at_percentile(50),
        "latency_p99_ms": run.latency.get_value_at_percentile(99),
        "slot_wait_p99_ms": run.slot_waits.get_value_at_percentile(99),
        "spread_mean": round(sum(run.imbalances) / len(run.imbalances), 4),
    }
    print(mode.name, metrics, flush=True)
    return metrics


def _prepare(mode: Mode) -> Run:
    servers = [
        EngineServer(
            model=SERVICE,
            slots=SLOTS,
            step_seconds=STEP_SECONDS,
            prefill_seconds=PREFILL_SECONDS,
            cached_prefixes=CACHED_PREFIXES,
        )
        for _ in range(ENGINES)
    ]
    for server in servers:
        server.start()
        if not mode.events:
            server.cache.lag = 1 << 30
    targets = [
        Target(metadata=Metadata(name=f"engine-{n}"), url=server.url, services=[SERVICE])
        for n, server in enumerate(servers)
    ]
    engine = make_http_engine(SystemClock())
    routing = _routing(targets)
    routers = []
    for number in range(ROUTERS):
        own = Member(name=f"router-{number}", incarnation=1, address="", data_centre="")
        router = make_known_targets(SystemClock(), engine, SoleMembership(own), NoPeers())
        router.reconfigure(routing)
        routers.append(router)
    return Run(mode, servers, targets, routers, engine)


def _routing(targets: list[Target]) -> Routing:
    objects = [Service(metadata=Metadata(name=SERVICE)), *targets]
    change = Change(change_id="bench", puts=[Put(object=item) for item in objects])
    return Routing(fold(ConfigState(), 0, change)[0])


def _send_requests(run: Run) -> list[gevent.Greenlet]:
    rng = random.Random(SEED)
    weights = [1 / (rank + 1) ** ZIPF_EXPONENT for rank in range(PREFIXES)]
    started = at = time.monotonic()
    calls: list[gevent.Greenlet] = []
    while at < started + SECONDS:
        at += rng.expovariate(run.mode.rate)
        prefix = rng.choices(range(PREFIXES), weights)[0]
        tokens = max(1, round(rng.expovariate(1 / MEAN_TOKENS)))
        router = run.routers[rng.randrange(ROUTERS)]
        gevent.sleep(max(0.0, at - time.monotonic()))
        prompt = f"{prefix:06d} " + "x" * 300
        calls.append(gevent.spawn(run.request, len(calls), router, prompt, tokens))
    return calls


def _milliseconds(since: float) -> int:
    return max(1, round(1000 * (time.monotonic() - since)))


if __name__ == "__main__":
    sys.exit(main())
