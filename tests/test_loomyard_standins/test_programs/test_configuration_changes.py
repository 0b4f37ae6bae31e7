"""Tests that routers follow the configuration whatever changes, and whatever befalls them."""

from __future__ import annotations

import os
import random
import re
import signal
import socket
import time
import unittest
from typing import TYPE_CHECKING, Any

import gevent
from gevent.server import StreamServer

from loomyard.events import Event
from loomyard_standins.programs import documents
from loomyard_standins.programs.soak_protocol import API_KEY, ATTEMPT_ID_HEADER, HOST, STAMP_HEADER
from test_loomyard_standins.test_programs.program_case import ProgramCase

if TYPE_CHECKING:
    from loomyard_standins.programs.program import Program

SEED = int(os.environ.get("SEED", "1"))
SECONDS = float(os.environ.get("SECONDS", "8"))
ROUTERS, MORE_ROUTERS = 3, 2
NAMES = ("a", "b", "c", "d", "e")
SERVICES = ("one", "two", "three")
KINDS = ("streaming", "streaming", "idempotent", "non_idempotent")
GRACE_SECONDS = 6.0
PAUSE_SECONDS = 2.5
# How soon a version has to be in force at routers in touch, and when a router is that.
APPLY_SECONDS, CONTACT_SECONDS = 2.0, 3.0


class ConfigurationChangesTest(ProgramCase):
    """Routers that start, end, pause and are added, while routes, services and keys change."""

    def setUp(self) -> None:
        super().setUp()
        self.rng = random.Random(SEED)
        server = StreamServer((self.host, 0), self.serve)
        server.start()
        self.addCleanup(server.stop, 0)
        for service in SERVICES:
            self.announce(f"t-{service}", service, server.server_port)
        self.hosts = [self.find_host(1 + number) for number in range(ROUTERS)]
        self.routes: dict[str, dict[str, Any]] = {}
        self.change()
        self.routers: dict[str, Program] = {
            host: self.start_router(host, self.hosts) for host in self.hosts
        }
        self.await_ready()

    def serve(self, sock: socket.socket, _: object) -> None:
        data = b""
        while block := sock.recv(65536):
            data += block
            while b"\r\n\r\n" in data:
                head, _, data = data.partition(b"\r\n\r\n")
                found = re.search(rb"Loomyard-Attempt-Id: (\S+)", head)
                name = found[1].decode() if found else ""
                own = f"{ATTEMPT_ID_HEADER}: {name}\r\n{STAMP_HEADER}: s.{name}\r\n"
                sock.sendall(f"HTTP/1.1 200 OK\r\n{own}Content-Length: 2\r\n\r\nok".encode())

    def change(self) -> None:
        """Publish a version in which some routes come, go, move or become another kind."""
        for name in self.rng.sample(NAMES, self.rng.randint(1, 3)):
            if name in self.routes and self.rng.random() < 0.5:
                del self.routes[name]
                continue
            kind = self.rng.choice(KINDS)
            self.routes[name] = {
                "name": name,
                "path_prefix": f"/{name}/",
                "route_kind": kind,
                "service": self.rng.choice(SERVICES),
                "resumable": kind == "streaming",
                "timeout_ms": self.rng.choice((3000, 60000)),
            }
        used = {route["service"] for route in self.routes.values()}
        marker = {"name": "m", "path_prefix": f"/m{self.version + 1}/", "service": "one"}
        marker["route_kind"] = "idempotent"
        self.publish(
            [*self.routes.values(), marker],
            [{"name": name, "max_conns": 100} for name in {*used, "one"}],
        )

    def befall(self) -> None:
        """Kill, stop, pause or restart a router, or add one."""
        host = self.rng.choice(list(self.routers))
        router = self.routers[host]
        what = self.rng.choice(("kill", "stop", "pause", "pause", "add"))
        if what == "add" and len(self.routers) < ROUTERS + MORE_ROUTERS:
            host = self.find_host(1 + len(self.routers))
            self.routers[host] = self.start_router(host, self.hosts)
        elif what == "pause":
            router.signal(signal.SIGSTOP)
            gevent.sleep(self.rng.uniform(0.3, PAUSE_SECONDS))
            router.signal(signal.SIGCONT)
        else:
            router.signal(signal.SIGKILL if what == "kill" else signal.SIGTERM)
            if not router.wait(GRACE_SECONDS):
                router.signal(signal.SIGKILL)
            self.routers[host] = self.start_router(host, self.hosts)

    def await_ready(self) -> None:
        with gevent.Timeout(30.0):
            for host in self.routers:
                while self.call(host, f"/m{self.version}/x") == 0:
                    gevent.sleep(0.05)

    def call(self, host: str, path: str) -> int:
        """Send a request; return its status, 0 where there is none."""
        try:
            with socket.create_connection((host, documents.FRONT_PORT), timeout=3.0) as sock:
                sock.sendall(
                    f"GET {path} HTTP/1.1\r\nHost: {HOST}\r\n{ATTEMPT_ID_HEADER}: a\r\n"
                    f"Loomyard-Deadline-Ms: 2000\r\nConnection: close\r\n"
                    f"Authorization: Bearer {API_KEY}\r\n\r\n".encode()
                )
                data = sock.recv(65536)
                return int(data.split(b" ")[1]) if data else 0
        except OSError:
            return 0

    def check(self) -> None:
        """Ask each router for what the newest version has, and what none has any more."""
        for host in self.routers:
            self.assertNotIn(self.call(host, f"/m{self.version}/x"), (0, 404), host)
            self.assertEqual(404, self.call(host, f"/m{self.version - 1}/x"), host)
            for name in NAMES:
                expected = {404} if name not in self.routes else {200, 502, 503, 504}
                self.assertIn(self.call(host, f"/{name}/x"), expected, f"{host} {name}")

    def failures(self) -> list[str]:
        """Return the lines of the routers' log that tell of unexpected errors."""
        log = (self.folder / "suspended_router.log").read_text(encoding="utf-8", errors="replace")
        number = Event.HANDLER_FAILED.number
        return [
            line
            for line in log.splitlines()
            if f'"event": {number}' in line or line.startswith("Traceback")
        ]

    # Guards against a router that follows the configuration no more, after any change.
    def test_every_router_has_the_newest_version_whatever_changed_and_befell_it(self) -> None:
        until = time.monotonic() + SECONDS
        changes = gevent.spawn(self.keep_changing, until)
        while time.monotonic() < until:
            self.befall()
            gevent.sleep(self.rng.uniform(0.0, 0.5))
        changes.get()
        gevent.sleep(CONTACT_SECONDS)
        self.await_ready()
        for _ in range(3):
            self.change()
            gevent.sleep(APPLY_SECONDS)
            self.check()
        self.assertEqual([], self.failures())

    def keep_changing(self, until: float) -> None:
        while time.monotonic() < until:
            self.change()
            gevent.sleep(self.rng.uniform(0.05, 0.8))


if __name__ == "__main__":
    unittest.main()
