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
SETTLED_AFTER = 30.0
CONFIGURED_SLOTS = 8
LIMITS = (4, 12, 24)
LAG_SECONDS = 2.0
STEP_SECONDS = 0.01
MEAN_TOKENS = 30
SAMPLE_SECONDS = 0.05
SERVICE = "assistant"


@define(eq=False)
class Subject:
    """An engine under constant backlog, driven with the estimated or the configured slots."""

    server: EngineServer
    target: Target
    limit: int
    estimated: bool
    in_flight: int = 0
    freed: Event = field(factory=Event)
    samples: list[tuple[float, int, int, int]] = field(factory=list)

    def slots(self, directory: KnownTargets) -> int:
        """Return the maximum number of concurrent requests."""
        return directory.slots(self.target) if self.estimated else CONFIGURED_SLOTS

    def figures(self) -> dict[str, float]:
        """Return the metrics after settling, and the seconds until the limit was first reached.

        ``reached_after_s`` is -1 if it never was.
        """
        settled = [s for s in self.samples if s[0] >= SETTLED_AFTER]
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
    subjects = [_make(limit, estimated) for estimated in (True, False) for limit in LIMITS]
    directory = _make_directory(engine, [subject.target for subject in subjects])
    directory.start()
    started = time.monotonic()
    tasks = [gevent.spawn(_drive, subject, directory, engine) for subject in subjects]
    tasks += [gevent.spawn(_sample, subject, directory, started) for subject in subjects]
    gevent.sleep(SECONDS)
    gevent.killall(tasks)
    directory.stop()
    figures = {}
    for subject in subjects:
        name = f"{'estimated' if subject.estimated else 'configured'}_{subject.limit}"
        figures[name] = subject.figures()
        print(name, figures[name])
    print(json.dumps({"bench": "slots", "lag_s": LAG_SECONDS, "engines": figures}))
    return 0


def _make(limit: int, estimated: bool) -> Subject:
    server = EngineServer(
        model=SERVICE, slots=limit, step_seconds=STEP_SECONDS, load_lag=LAG_SECONDS
    )
    server.start()
    name = f"engine-{limit}-{'e' if estimated else 'c'}"
    target = Target(
        metadata=Metadata(name=name), url=server.url, services=[SERVICE], slots=CONFIGURED_SLOTS
    )
    return Subject(server, target, limit, estimated)


def _make_directory(engine: Engine, targets: list[Target]) -> KnownTargets:
    own = Member(name="router", incarnation=1, address="", data_centre="")
    directory = make_known_targets(SystemClock(), engine, SoleMembership(own), NoPeers())
    objects = [Service(metadata=Metadata(name=SERVICE)), *targets]
    change = Change(change_id="bench", puts=[Put(object=item) for item in objects])
    directory.reconfigure(Routing(fold(ConfigState(), 0, change)[0]))
    return directory


def _drive(subject: Subject, directory: KnownTargets, engine: Engine) -> None:
    rng = random.Random(SEED)
    number = 0
    while True:
        while subject.in_flight >= subject.slots(directory):
            subject.freed.clear()
            subject.freed.wait(timeout=SAMPLE_SECONDS)
        number += 1
        subject.in_flight += 1
        tokens = max(1, round(rng.expovariate(1 / MEAN_TOKENS)))
        gevent.spawn(_call, subject, engine, number, tokens)


def _call(subject: Subject, engine: Engine, number: int, tokens: int) -> None:
    body = {"model": SERVICE, "prompt": f"{number}", "max_tokens": tokens}
    call = TargetCall(
        attempt_id=f"{subject.target.metadata.name}-{number}",
        url=subject.target.url,
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
    subject.in_flight -= 1
    subject.freed.set()


def _sample(subject: Subject, directory: KnownTargets, started: float) -> None:
    while True:
        server = subject.server
        at = time.monotonic() - started
        subject.samples.append((at, subject.slots(directory), server.running, server.waiting))
        gevent.sleep(SAMPLE_SECONDS)


if __name__ == "__main__":
    sys.exit(main())
