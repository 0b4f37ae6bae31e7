"""Benchmark of slot estimation at engines whose batch limit the router does not know."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import json  # noqa: E402
import random  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402

import gevent  # noqa: E402
from attrs import define, field  # noqa: E402
from gevent.event import Event  # noqa: E402

from loomyard.clock import SystemClock  # noqa: E402
from loomyard.configuration import Change, ConfigState, Put, fold  # noqa: E402
from loomyard.external.engine import Engine, TargetCall  # noqa: E402
from loomyard.objects import Metadata, Service, Target  # noqa: E402
from loomyard.routing import Routing  # noqa: E402
from loomyard_router.members.membership import Member, SoleMembership  # noqa: E402
from loomyard_router.peers.no_peers import NoPeers  # noqa: E402
from loomyard_router.targets.http_engine import make_http_engine  # noqa: E402
from loomyard_router.targets.known_targets import KnownTargets, make_known_targets  # noqa: E402
from loomyard_standins.engine import EngineServer  # noqa: E402

SEED = 5
SECONDS = 50.0
SETTLE_SECONDS = 30.0
CONFIGURED_SLOTS = 8
LIMITS = (4, 12, 24)
LAG_SECONDS = 2.0
STEP_SECONDS = 0.01
MEAN_TOKENS = 30
SAMPLE_SECONDS = 0.05
SERVICE = "assistant"


@define(eq=False)
class DrivenEngine:
    """An engine under constant backlog, driven with the estimated or the configured slots."""

    server: EngineServer
    target: Target
    limit: int
    estimated: bool
    in_flight: int = 0
    freed: Event = field(factory=Event)
    samples: list[tuple[float, int, int, int]] = field(factory=list)

    def slots(self, known_targets: KnownTargets) -> int:
        """Return the maximum number of concurrent requests."""
        return known_targets.slots(self.target) if self.estimated else CONFIGURED_SLOTS

    def metrics(self) -> dict[str, float]:
        """Return the metrics after settling, and the seconds until the limit was first reached.

        ``reached_after_s`` is -1 if it never was.
        """
        settled = [s for s in self.samples if s[0] >= SETTLE_SECONDS]
        reached = [at for at, slots, _, _ in self.samples if slots >= self.limit]
        count = len(settled)
        return {
            "limit": self.limit,
            "slots_min": min(slots for _, slots, _, _ in settled),
            "slots_max": max(slots for _, slots, _, _ in settled),
            "reached_after_s": round(min(reached, default=-1.0), 1),
            "utilisation": round(sum(r for _, _, r, _ in settled) / count / self.limit, 4),
            "engine_queue_mean": round(sum(w for _, _, _, w in settled) / count, 2),
        }


def main() -> int:
    """Run all engines side by side and print one JSON object."""
    engine = make_http_engine(SystemClock())
    driven_engines = [
        _make_driven_engine(limit, estimated) for estimated in (True, False) for limit in LIMITS
    ]
    known_targets = _make_known_targets(engine, [driven.target for driven in driven_engines])
    known_targets.start()
    started = time.monotonic()
    tasks = [gevent.spawn(_drive, driven, known_targets, engine) for driven in driven_engines]
    tasks += [gevent.spawn(_sample, driven, known_targets, started) for driven in driven_engines]
    gevent.sleep(SECONDS)
    gevent.killall(tasks)
    known_targets.stop()
    metrics = {}
    for driven in driven_engines:
        name = f"{'estimated' if driven.estimated else 'configured'}_{driven.limit}"
        metrics[name] = driven.metrics()
        print(name, metrics[name])
    print(json.dumps({"bench": "slots", "lag_s": LAG_SECONDS, "engines": metrics}))
    return 0


def _make_driven_engine(limit: int, estimated: bool) -> DrivenEngine:
    server = EngineServer(
        model=SERVICE, slots=limit, step_seconds=STEP_SECONDS, load_lag=LAG_SECONDS
    )
    server.start()
    name = f"engine-{limit}-{'e' if estimated else 'c'}"
    target = Target(
        metadata=Metadata(name=name), url=server.url, services=[SERVICE], slots=CONFIGURED_SLOTS
    )
    return DrivenEngine(server, target, limit, estimated)


def _make_known_targets(engine: Engine, targets: list[Target]) -> KnownTargets:
    own = Member(name="router", incarnation=1, address="", data_centre="")
    known_targets = make_known_targets(SystemClock(), engine, SoleMembership(own), NoPeers())
    objects = [Service(metadata=Metadata(name=SERVICE)), *targets]
    change = Change(change_id="bench", puts=[Put(object=item) for item in objects])
    known_targets.reconfigure(Routing(fold(ConfigState(), 0, change)[0]))
    return known_targets


def _drive(driven: DrivenEngine, known_targets: KnownTargets, engine: Engine) -> None:
    rng = random.Random(SEED)
    number = 0
    while True:
        while driven.in_flight >= driven.slots(known_targets):
            driven.freed.clear()
            driven.freed.wait(timeout=SAMPLE_SECONDS)
        number += 1
        driven.in_flight += 1
        tokens = max(1, round(rng.expovariate(1 / MEAN_TOKENS)))
        gevent.spawn(_call, driven, engine, number, tokens)


def _call(driven: DrivenEngine, engine: Engine, number: int, tokens: int) -> None:
    body = {"model": SERVICE, "prompt": f"{number}", "max_tokens": tokens}
    call = TargetCall(
        attempt_id=f"{driven.target.metadata.name}-{number}",
        url=driven.target.url,
        method="POST",
        path="/v1/completions",
        headers=[("Content-Type", "application/json")],
        body=json.dumps(body).encode(),
        deadline=time.monotonic() + 60.0,
    )
    answer = engine.open(call).unwrap()
    while answer.read().unwrap():
        pass
    answer.close()
    driven.in_flight -= 1
    driven.freed.set()


def _sample(driven: DrivenEngine, known_targets: KnownTargets, started: float) -> None:
    while True:
        server = driven.server
        at = time.monotonic() - started
        driven.samples.append((at, driven.slots(known_targets), server.running, server.waiting))
        gevent.sleep(SAMPLE_SECONDS)


if __name__ == "__main__":
    sys.exit(main())
