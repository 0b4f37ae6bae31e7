"""Start and stop routers, store, targets and callers as processes on loopback."""

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
from loomyard.events import Event
from loomyard_standins.programs import documents
from loomyard_standins.programs.fault_proxy import FaultProxy
from loomyard_standins.programs.invariant import Invariant, Violation
from loomyard_standins.programs.program import Program
from loomyard_standins.programs.soak_protocol import NON_IDEMPOTENT, STREAM, SUSPEND_SIGNAL
from loomyard_standins.programs.written_records import WrittenRecords

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Mapping
    from pathlib import Path

    from loomyard_standins.programs.invariant_checker import InvariantChecker
    from loomyard_standins.programs.program import Listener

logger = logging.getLogger(__name__)

MODULES = "loomyard_standins.programs"
ROUTER_MODULE = f"{MODULES}.suspended_router"
SECRET = "a secret of this run"
# How long the entry of a crashed target stays and a target without an entry keeps running, and how
# long a leaving target is announced as such.
ENTRY_LINGER_SECONDS = 1.0
SERVE_WHILE_LEAVING_SECONDS = 4.0
FIRST_HOST = 10


@define(eq=False)
class Router:
    """A router, which keeps its addresses through all its incarnations."""

    name: str
    host: str
    store_proxy: FaultProxy
    program: Program

    @property
    def address(self) -> str:
        return f"{self.host}:{documents.FRONT_PORT}"


@define(eq=False)
class Target:
    """One incarnation of a target; its next entry announces ``cold_seconds`` of cold start."""

    id: str
    kind: str
    data_centre: str
    software_version: str
    born: int
    proxy: FaultProxy
    program: Program
    cold_seconds: float = 0.0


class ProgramFleet:
    """The programs of a run; signals go only to processes that the fleet started itself."""

    def __init__(
        self,
        folder: Path,
        *,
        seed: int,
        routers: int,
        checker: InvariantChecker,
        router_memory: int = 0,
    ) -> None:
        self.clock = SystemClock()
        self.started_at = time.monotonic()
        self.violations: list[Violation] = []
        # Called with a target that crashed under a request.
        self.on_target_crashed: Callable[[Target], None] = lambda _: None
        self.version = 0
        self._folder = folder
        self._seed = seed
        self._checker = checker
        self._router_memory = router_memory
        self._stopping = False
        self._incarnations = 0
        self._records = WrittenRecords()
        self._lost_since = 0.0
        self._programs: list[Program] = []
        # Programs inherit this: the suspend signal must not end one that has no handler yet.
        signal.signal(SUSPEND_SIGNAL, signal.SIG_IGN)
        # Loopback addresses derived from the process id, so that concurrent runs do not collide.
        number = os.getpid()
        self._base = f"127.{1 + number // 250 % 250}.{number % 250}"
        self._store_host = f"{self._base}.1"
        self.store = self._start("store", "store_program", f"{self._store_host}:0")
        self.targets = [
            self._start_target(kind, data_centre, software_version)
            for kind, versions in (
                (NON_IDEMPOTENT, documents.SOFTWARE_VERSIONS[:1]),
                (STREAM, documents.SOFTWARE_VERSIONS),
            )
            for data_centre in documents.DATA_CENTRES
            for software_version in versions
        ]
        self.publish_configuration()
        hosts = [f"{self._base}.{FIRST_HOST + number}" for number in range(routers)]
        self.routers = [self._make_router(host, hosts) for host in hosts]
        self.callers = self._start(
            "callers", "caller_program", str(seed), *[router.address for router in self.routers]
        )

    def publish_configuration(self) -> None:
        """Publish the next version of the configuration."""
        self.version += 1
        self._publish(
            documents.CONFIGURATION_TOPIC,
            documents.CONFIGURATION_KEY,
            documents.configuration(self.version),
            version=self.version,
        )

    def send_version(self) -> None:
        """Send the newest version to the callers, which then probe its route."""
        self.callers.send_line(str(self.version))

    def restart_router(self, router: Router, number: signal.Signals) -> None:
        """Stop a router by a signal, by SIGKILL after the grace period, and start it again."""
        self.check_lives(router)
        router.program.signal(number)
        if not router.program.wait(documents.GRACE_SECONDS):
            router.program.signal(signal.SIGKILL)
        elif number != signal.SIGKILL and router.program.status:
            detail = f"{router.name} ended with status {router.program.status} after {number!r}"
            self.violations.append(Violation(Invariant.LIVES, detail))
        router.program.kill()
        self._checker.record_router_end(router.address, time.monotonic())
        router.program = self._start_router(router.name)

    def check_lives(self, router: Router) -> None:
        """Record a violation where a router has ended without being told to."""
        if router.program.status is not None:
            detail = f"{router.name} ended by itself with status {router.program.status}"
            self.violations.append(Violation(Invariant.LIVES, detail))

    def replace_target(self, target: Target, *, crash: bool) -> None:
        """Replace a target by a new one, after a crash or after it announced that it leaves."""
        self._checker.streams.record_engine_end(target.id)
        if crash:
            target.proxy.stop_listening()
            target.program.kill()
            gevent.sleep(ENTRY_LINGER_SECONDS)
        else:
            self._checker.departures.record_announcement(target.id)
            self._announce(target, draining=True)
            self._checker.record_leaving(target.id, time.monotonic())
            gevent.sleep(SERVE_WHILE_LEAVING_SECONDS)
        self._publish(documents.TARGETS_TOPIC, target.id, None)
        self.targets.append(
            self._start_target(target.kind, target.data_centre, self._next_version(target))
        )
        self.targets.remove(target)
        if not crash:
            gevent.sleep(ENTRY_LINGER_SECONDS)
            target.proxy.stop_listening()
            target.program.kill()
        target.proxy.stop()

    def restart_target(self, target: Target) -> None:
        """Kill a target and start a new incarnation under the same id."""
        self._checker.streams.record_engine_end(target.id)
        target.proxy.stop_listening()
        target.program.kill()
        gevent.sleep(ENTRY_LINGER_SECONDS)
        self.targets.append(
            self._start_target(
                target.kind, target.data_centre, self._next_version(target), target_id=target.id
            )
        )
        self.targets.remove(target)
        target.proxy.stop()

    def notify_leaving(self, target: Target) -> None:
        """Let a target announce that it leaves in its answers only, not in its entry."""
        _send_command(target, leaving=True)

    def request_backoff(self, target: Target, seconds: float) -> None:
        """Let a target refuse all requests and ask for back-off; 0 seconds ends that."""
        _send_command(target, rest=seconds)

    def announce(self, target: Target) -> None:
        """Publish the entry of a target."""
        self._announce(target, draining=False)

    def publish_evacuation(self, data_centre: str, *, evacuated: bool) -> None:
        """Evacuate a data centre, or reinstate it."""
        key = documents.evacuation_key(data_centre)
        self._publish(documents.CONFIGURATION_TOPIC, key, "{}" if evacuated else None)

    def publish_entry(self, topic: str, key: str, value: str | None) -> None:
        """Write any record, as a foreign writer; ``None`` deletes the key."""
        self._publish(topic, key, value)

    def roll_back_store(self, seconds: float) -> None:
        """Roll the store back by some seconds, as if restored from an old copy."""
        self._lost_since = time.monotonic() - seconds
        self.store.send_line(json.dumps({"fall_back": seconds}))

    def grow_past_rollback(self) -> None:
        """Append filler until the log is longer than before the rollback, as busy writers do."""
        self.store.send_line(json.dumps({"outgrow": True}))

    def rewrite_lost(self, rng: random.Random) -> None:
        """Write the records again that the rollback lost, in random order."""
        lost = self._records.find_lost(self._lost_since)
        rng.shuffle(lost)
        for message in lost:
            # The next rollback may lose it again.
            self._write(message)

    def stop(self) -> None:
        """Kill every process that this fleet started; none can start from now on."""
        self._stopping = True
        for router in self.routers:
            self.check_lives(router)
        for target in self.targets:
            target.proxy.stop_listening()
        for program in reversed(self._programs):
            program.kill()
        for proxy in [*(r.store_proxy for r in self.routers), *(t.proxy for t in self.targets)]:
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

        def read_log(line: dict[str, Any]) -> None:
            if line.get("event") == Event.HANDLER_FAILED.number:
                detail = f"{name}: {line['fields']}"
                self.violations.append(Violation(Invariant.NO_FAILURE, detail))

        return self._launch(
            name,
            ROUTER_MODULE,
            read_log,
            environment=environment,
            address_space=self._router_memory,
        )

    def _next_version(self, target: Target) -> str:
        """Return the version that replaces a target: another one for every second engine."""
        versions = documents.SOFTWARE_VERSIONS
        if target.kind != STREAM or self._incarnations % 2:
            return target.software_version
        return versions[1 - versions.index(target.software_version)]

    def _start_target(
        self, kind: str, data_centre: str, software_version: str, *, target_id: str = ""
    ) -> Target:
        self._incarnations += 1
        target_id = target_id or f"t{self._incarnations}"
        seed = f"{self._seed} {self._incarnations}"
        program = self._start(
            target_id, "target_program", target_id, kind, software_version, self._store_host, seed
        )
        proxy = FaultProxy(self._store_host, (self._store_host, program.port), self.clock)
        proxy.start()
        # The count of incarnations serves as ``born``; only its order matters.
        target = Target(
            target_id, kind, data_centre, software_version, self._incarnations, proxy, program
        )
        self._checker.record_target_start(target_id, data_centre)
        if kind == STREAM:
            self._checker.streams.record_engine_start(target_id, software_version)
        self._announce(target, draining=False)
        return target

    def _announce(self, target: Target, *, draining: bool) -> None:
        service = documents.SERVICES[target.kind]
        value = documents.announcement(
            service,
            target.proxy.address,
            data_centre=target.data_centre,
            software_version=target.software_version,
            born=target.born,
            draining=draining,
            cold_seconds=target.cold_seconds,
        )
        self._publish(documents.TARGETS_TOPIC, target.id, value)

    def _publish(self, topic: str, key: str, value: str | None, **fields: int) -> None:
        self._write({"topic": topic, "key": key, "value": value, **fields})

    def _write(self, message: dict[str, Any]) -> None:
        self._records.record_write(message["topic"], message["key"], message, time.monotonic())
        self.store.send_line(json.dumps(message))

    def _start(self, name: str, module: str, *arguments: str) -> Program:
        return self._launch(name, f"{MODULES}.{module}", self._handle_message, *arguments)

    def _launch(
        self,
        name: str,
        module: str,
        listener: Listener,
        *arguments: str,
        environment: Mapping[str, str] = {},
        address_space: int = 0,
    ) -> Program:
        if self._stopping:
            raise gevent.GreenletExit
        command = [sys.executable, "-m", module, *arguments]
        log = self._folder / f"{name}.log"
        program = Program(command, log, listener, environment, address_space)
        self._programs.append(program)
        if self._stopping:
            program.kill()
        return program

    def _handle_message(self, message: dict[str, Any]) -> None:
        self.violations += self._checker.check(message)
        if "acked" in message:
            self._records.record_ack(message["acked"], message["at"])
        if "ends" in message:
            self._allow_exit(message["target"])

    def _allow_exit(self, target_id: str) -> None:
        target = next((target for target in self.targets if target.id == target_id), None)
        if target is not None:
            target.proxy.stop_listening()
            target.program.send_line(json.dumps({"end": True}))
            self.on_target_crashed(target)

    def _settings(self, name: str) -> Path:
        return self._folder / f"{name}.conf"


def _send_command(target: Target, **message: float) -> None:
    try:
        target.program.send_line(json.dumps(message))
    except BrokenPipeError:
        # It crashed under a request and is about to be replaced.
        logger.debug("target %s has exited; command dropped", target.id)
