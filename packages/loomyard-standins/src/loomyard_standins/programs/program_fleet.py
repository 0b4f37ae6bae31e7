"""Routers, store, targets and callers as processes on loopback."""

from __future__ import annotations

import json
import logging
import os
import signal
import sys
import time
from typing import TYPE_CHECKING, Any

import gevent
from attrs import define

from loomyard.clock import SystemClock
from loomyard_standins.programs import documents
from loomyard_standins.programs.fault_proxy import FaultProxy
from loomyard_standins.programs.program import Program
from loomyard_standins.programs.words import ONCE, STREAM, SUSPENDING

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Mapping
    from pathlib import Path

    from loomyard_standins.programs.program import Listener
    from loomyard_standins.programs.promise import Breach
    from loomyard_standins.programs.promises import Promises

logger = logging.getLogger(__name__)

MODULES = "loomyard_standins.programs"
ROUTER_MODULE = f"{MODULES}.suspended_router"
SECRET = "a secret of this run"
# How long a target that crashed or left stays announced, and one that leaves goes on serving.
LAPSE_SECONDS = 1.0
LEAVE_SECONDS = 4.0
FIRST_HOST = 10


@define(eq=False)
class Router:
    """A router, which keeps its addresses through its lives."""

    name: str
    host: str
    store: FaultProxy
    program: Program

    @property
    def address(self) -> str:
        return f"{self.host}:{documents.FRONT_PORT}"


@define(eq=False)
class Target:
    """One life of a target; ``cold_seconds`` are left of its being cold when it says so."""

    id: str
    kind: str
    data_centre: str
    born: int
    link: FaultProxy
    program: Program
    cold_seconds: float = 0.0


class ProgramFleet:
    """Start, fail and end the programs; each process is known by the object that started it."""

    def __init__(self, folder: Path, *, seed: int, routers: int, promises: Promises) -> None:
        self.clock = SystemClock()
        self.breaches: list[Breach] = []
        # Called with a target that ended under a request.
        self.target_ended: Callable[[Target], None] = lambda _: None
        self.version = 0
        self._folder = folder
        self._seed = seed
        self._promises = promises
        self._ending = False
        self._lives = 0
        # What the newest record of each key says, and when it was written.
        self._written: dict[tuple[str, str], tuple[float, dict[str, Any]]] = {}
        self._lost_after = 0.0
        self._programs: list[Program] = []
        # Programs inherit it: one that is still starting must not end by the notice of a
        # suspension.
        signal.signal(SUSPENDING, signal.SIG_IGN)
        # Addresses of loopback that other runs on this machine do not use.
        number = os.getpid()
        self._base = f"127.{1 + number // 250 % 250}.{number % 250}"
        self._store_host = f"{self._base}.1"
        self.store = self._start("store", "store_program", f"{self._store_host}:0")
        self.targets = [
            self._start_target(kind, data_centre)
            for kind in (ONCE, STREAM)
            for data_centre in documents.DATA_CENTRES
        ]
        self.publish_configuration()
        hosts = [f"{self._base}.{FIRST_HOST + number}" for number in range(routers)]
        self.routers = [self._make_router(host, hosts) for host in hosts]
        self.callers = self._start(
            "callers", "caller_program", str(seed), *[router.address for router in self.routers]
        )

    def publish_configuration(self) -> None:
        """Publish the next version."""
        self.version += 1
        self._publish(
            documents.CONFIGURATION_TOPIC,
            documents.CONFIGURATION_KEY,
            documents.configuration(self.version),
            version=self.version,
        )

    def tell_version(self) -> None:
        """Let callers ask for the newest route."""
        self.callers.tell(str(self.version))

    def restart_router(self, router: Router, number: signal.Signals) -> None:
        """End a router by a signal, as the platform does, and start it again."""
        router.program.signal(number)
        if not router.program.wait(documents.GRACE_SECONDS):
            router.program.signal(signal.SIGKILL)
        router.program.end()
        self._promises.note_router(router.address, time.monotonic())
        router.program = self._start_router(router.name)

    def replace_target(self, target: Target, *, crash: bool) -> None:
        """End a target, at once or after it said that it leaves; another life takes its place."""
        if crash:
            target.link.refuse()
            target.program.end()
            gevent.sleep(LAPSE_SECONDS)
        else:
            self._announce(target, draining=True)
            self._promises.note_leaving(target.id, time.monotonic())
            gevent.sleep(LEAVE_SECONDS)
        self._publish(documents.TARGETS_TOPIC, target.id, None)
        self.targets.append(self._start_target(target.kind, target.data_centre))
        self.targets.remove(target)
        if not crash:
            gevent.sleep(LAPSE_SECONDS)
            target.program.end()
        target.link.stop()

    def restart_target(self, target: Target) -> None:
        """End a target at once and start it again under its id, which another life has then."""
        target.link.refuse()
        target.program.end()
        gevent.sleep(LAPSE_SECONDS)
        self.targets.append(self._start_target(target.kind, target.data_centre, id_=target.id))
        self.targets.remove(target)
        target.link.stop()

    def say_leaving(self, target: Target) -> None:
        """Let a target say in its answers alone that it leaves; its entry stays as it was."""
        _tell_target(target, leaving=True)

    def ask_rest(self, target: Target, seconds: float) -> None:
        """Let a target turn away all it gets and ask for rest; none ends that."""
        _tell_target(target, rest=seconds)

    def announce(self, target: Target) -> None:
        """Let a target say what it is."""
        self._announce(target, draining=False)

    def publish_order(self, data_centre: str, *, emptied: bool) -> None:
        """Empty a data centre, or take it back."""
        key = documents.emptying_key(data_centre)
        self._publish(documents.CONFIGURATION_TOPIC, key, "{}" if emptied else None)

    def publish_entry(self, topic: str, key: str, value: str | None) -> None:
        """Write as anybody may."""
        self._publish(topic, key, value)

    def lose_writes(self, seconds: float) -> None:
        """Let the store come back from a copy that is some seconds old."""
        self._lost_after = time.monotonic() - seconds
        self.store.tell(json.dumps({"fall_back": seconds}))

    def outgrow_lost(self) -> None:
        """Let the log grow past where it ended before a loss, as busy writers do."""
        self.store.tell(json.dumps({"outgrow": True}))

    def write_again(self, source: random.Random) -> None:
        """Write what the copy lacks, in some order."""
        lost = [key for key, (at, _) in self._written.items() if at >= self._lost_after]
        source.shuffle(lost)
        for key in lost:
            _, said = self._written[key]
            # The next loss may take it again.
            self._written[key] = (time.monotonic(), said)
            self.store.tell(json.dumps(said))

    def end(self) -> None:
        """End every process that this fleet started, and no other; none starts from now on."""
        self._ending = True
        for program in reversed(self._programs):
            program.end()
        for proxy in [*(r.store for r in self.routers), *(t.link for t in self.targets)]:
            proxy.stop()

    def _make_router(self, host: str, hosts: list[str]) -> Router:
        name = f"r{host.rpartition('.')[2]}"
        store = FaultProxy(self._store_host, (self._store_host, self.store.port), self.clock)
        store.start()
        text = documents.settings(name, host, hosts, store.address)
        self._settings(name).write_text(text, encoding="utf-8")
        return Router(name, host, store, self._start_router(name))

    def _start_router(self, name: str) -> Program:
        environment = {
            "LOOMYARD_NODE_FILE": str(self._settings(name)),
            "LOOMYARD_FLEET_SECRET": SECRET,
        }
        return self._launch(name, ROUTER_MODULE, lambda _: None, environment=environment)

    def _start_target(self, kind: str, data_centre: str, *, id_: str = "") -> Target:
        self._lives += 1
        id_ = id_ or f"t{self._lives}"
        seed = f"{self._seed} {self._lives}"
        program = self._start(id_, "target_program", id_, kind, self._store_host, seed)
        link = FaultProxy(self._store_host, (self._store_host, program.port), self.clock)
        link.start()
        # The number of a life stands in for the time at which it began.
        target = Target(id_, kind, data_centre, self._lives, link, program)
        self._promises.note_target(id_, data_centre)
        self._announce(target, draining=False)
        return target

    def _announce(self, target: Target, *, draining: bool) -> None:
        service = documents.SERVICES[target.kind]
        value = documents.announcement(
            service,
            target.link.address,
            data_centre=target.data_centre,
            born=target.born,
            draining=draining,
            cold_seconds=target.cold_seconds,
        )
        self._publish(documents.TARGETS_TOPIC, target.id, value)

    def _publish(self, topic: str, key: str, value: str | None, **more: int) -> None:
        said = {"topic": topic, "key": key, "value": value, **more}
        self._written[topic, key] = (time.monotonic(), said)
        self.store.tell(json.dumps(said))

    def _start(self, name: str, module: str, *arguments: str) -> Program:
        return self._launch(name, f"{MODULES}.{module}", self._hear, *arguments)

    def _launch(
        self,
        name: str,
        module: str,
        listener: Listener,
        *arguments: str,
        environment: Mapping[str, str] = {},
    ) -> Program:
        if self._ending:
            raise gevent.GreenletExit
        command = [sys.executable, "-m", module, *arguments]
        program = Program(command, self._folder / f"{name}.log", listener, environment)
        self._programs.append(program)
        if self._ending:
            program.end()
        return program

    def _hear(self, said: dict[str, Any]) -> None:
        self.breaches += self._promises.take(said)
        if "ends" in said:
            self._let_end(said["target"])

    def _let_end(self, id_: str) -> None:
        target = next((one for one in self.targets if one.id == id_), None)
        if target is not None:
            target.link.refuse()
            target.program.tell(json.dumps({"end": True}))
            self.target_ended(target)

    def _settings(self, name: str) -> Path:
        return self._folder / f"{name}.conf"


def _tell_target(target: Target, **said: float) -> None:
    try:
        target.program.tell(json.dumps(said))
    except BrokenPipeError:
        # It has ended under a request, and another one is about to take its place.
        logger.debug("target %s has ended and hears nothing more", target.id)
