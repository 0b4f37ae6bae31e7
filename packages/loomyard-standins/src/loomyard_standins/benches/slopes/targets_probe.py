"""Cost of the target directory against the number of targets that this router polls."""

from __future__ import annotations

import json

import gevent

from loomyard.clock import SystemClock
from loomyard.configuration import Change, ConfigState, Put, fold
from loomyard.objects import ConfigObject, Metadata, Service, ServiceType, Target
from loomyard.routing import Routing
from loomyard_router.members.membership import Member, SoleMembership
from loomyard_router.peers.no_peers import NoPeers
from loomyard_router.targets.http_engine import make_http_engine
from loomyard_router.targets.known_targets import make_known_targets
from loomyard_standins.benches.child import Child
from loomyard_standins.benches.slopes.sample import Sample
from loomyard_standins.benches.slopes.usage import cpu_seconds, resident_bytes

KNOWN_TARGETS = 600
STEP_SECONDS = 0.05
WARM_SECONDS = 2.0
TIMED_SECONDS = 10.0


class TargetsProbe:
    """CPU time by targets polled, and memory of a directory of 600 targets.

    With 360 routers each router polls 1.67 of the 600 targets.
    """

    sizes = (2, 8, 16, 32)

    def measure(self, size: int) -> Sample:
        """Poll ``size`` engines of a child process for TIMED_SECONDS."""
        item = {"type": "model", "service": "model", "slots": 8}
        plan = {"step_seconds": STEP_SECONDS, "targets": [item] * size}
        engines = Child("engine_process", json.dumps(plan))
        try:
            return _measure(size, engines.read()["urls"])
        finally:
            engines.kill()


def _measure(size: int, urls: list[str]) -> Sample:
    routing = _routing(urls)
    own = Member(name="router", incarnation=1, address="", data_centre="")
    clock = SystemClock()
    before = resident_bytes()
    directory = make_known_targets(clock, make_http_engine(clock), SoleMembership(own), NoPeers())
    directory.reconfigure(routing)
    directory.start()
    gevent.sleep(WARM_SECONDS)
    memory = resident_bytes() - before
    started = cpu_seconds()
    gevent.sleep(TIMED_SECONDS)
    cores = (cpu_seconds() - started) / TIMED_SECONDS
    directory.stop()
    return Sample(size=size, quantities={"rss_bytes": memory, "cores": cores})


def _routing(urls: list[str]) -> Routing:
    objects: list[ConfigObject] = [
        Service(metadata=Metadata(name="model")),
        Service(metadata=Metadata(name="plain"), type=ServiceType.PLAIN),
    ]
    for number in range(KNOWN_TARGETS):
        polled = number < len(urls)
        objects.append(
            Target(
                metadata=Metadata(name=f"target-{number:04}"),
                url=urls[number] if polled else "http://127.0.0.1:1",
                services=["model" if polled else "plain"],
            )
        )
    change = Change(change_id="probe", puts=[Put(object=item) for item in objects])
    return Routing(fold(ConfigState(), 0, change)[0])
