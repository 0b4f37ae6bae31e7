"""Tests of router programs that stand still while targets leave."""

from __future__ import annotations

import itertools
import json
import logging
import re
import signal
import time
import unittest
from collections import Counter
from typing import TYPE_CHECKING

import gevent
from attrs import define, field
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer

from loomyard.clock import boottime_seconds
from loomyard.errors import ResultCode
from loomyard_standins.programs import documents
from loomyard_standins.programs.soak_protocol import API_KEY, ATTEMPT_ID_HEADER, HOST, STAMP_HEADER
from test_loomyard_standins.test_programs.program_case import (
    ROUTER_MODULE,
    ProgramCase,
)

if TYPE_CHECKING:
    from collections.abc import Callable

logger = logging.getLogger(__name__)

SERVICE = "plain"
ROUTERS = 3
TARGETS = 8
# A target serves for so long after the store accepted that it leaves.
DRAIN_SECONDS = 2.0
REQUEST_SECONDS = 6.0
# Callers of each router that keep their connections, and the time between new connections to it.
KEPT_CALLERS = 20
NEW_INTERVAL_SECONDS = 0.02
# The second target leaves when the read that the first one answers waits in a socket.
APART_SECONDS = 0.15
CALM_SECONDS = 1.2
LONG_STALL_SECONDS = 2.6
# A version is in force so long after its ack; requests are sent in the last part of the stall.
CONFIG_APPLY_SECONDS, LAST_SECONDS = 2.0, 0.3
LATE_REQUESTS = 20
REVOKED_KEY = "revoked-key"
# For lines that are on their way from a router to its log.
LOG_SECONDS = 0.2
# Times and results of requests that ended or were refused, in the lines of a router's log.
RESULT = re.compile(r'"steady": ([\d.]+),.*"event": 40[05],.*"code": (\d+)')
STATUS = re.compile(rb"HTTP/1.1 (\d+)")


@define(eq=False)
class Target:
    """A target that answers at once and records when it began each request."""

    name: str
    host: str
    began: list[float] = field(factory=list)
    ids: list[str] = field(factory=list)
    server: StreamServer = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.server = StreamServer((self.host, 0), self.serve)
        self.server.start()

    def serve(self, sock: socket.socket, _: object) -> None:
        """Answer the requests of a connection, with keep-alive."""
        data = b""
        while block := sock.recv(65536):
            data += block
            while b"\r\n\r\n" in data:
                head, _, data = data.partition(b"\r\n\r\n")
                found = re.search(rb"Loomyard-Attempt-Id: (\S+)", head)
                attempt_id = found[1].decode() if found else ""
                if attempt_id:
                    self.began.append(time.monotonic())
                    self.ids.append(attempt_id)
                own = f"{ATTEMPT_ID_HEADER}: {attempt_id}\r\n{STAMP_HEADER}: s.{attempt_id}\r\n"
                sock.sendall(f"HTTP/1.1 200 OK\r\n{own}Content-Length: 2\r\n\r\nok".encode())


class StalledRoutersTest(ProgramCase):
    """Routers under steady load; some stand still as targets leave."""

    def setUp(self) -> None:
        super().setUp()
        self.targets = [self.start_target(f"t{number}") for number in range(TARGETS)]
        self.publish_routes("again", "dropped")
        for target in self.targets:
            self.announce(target.name, SERVICE, target.server.server_port)
        self.hosts = [self.find_host(1 + number) for number in range(ROUTERS)]
        self.routers = [self.start_router(host, self.hosts) for host in self.hosts]
        self.numbers = itertools.count()
        self.statuses: list[int] = []
        for host in self.hosts:
            self.await_router(host)

    def publish_routes(self, *names: str, keys: tuple[str, ...] = (API_KEY, REVOKED_KEY)) -> None:
        """Publish a version with routes by these names, on which these keys may be used."""
        kind = {"route_kind": "idempotent", "service": SERVICE, "max_attempts": 3}
        routes = [kind | {"name": name, "path_prefix": f"/{name}/"} for name in names]
        services = [{"name": SERVICE, "max_conns": 500, "health_path": "/up"}]
        self.publish(routes, services, keys=keys)

    def start_target(self, name: str) -> Target:
        target = Target(name, self.host)
        self.addCleanup(target.server.stop, 0)
        return target

    def await_router(self, host: str) -> None:
        with gevent.Timeout(30.0):
            while True:
                gevent.sleep(0.1)
                try:
                    with socket.create_connection((host, documents.FRONT_PORT)) as sock:
                        if self.call(sock, b"close")[0] == 200:
                            return
                except OSError:
                    pass

    def call(
        self,
        sock: socket.socket,
        connection: bytes,
        *,
        route: str = "again",
        key: str = API_KEY,
        attempt_id: str = "",
    ) -> tuple[int, bool]:
        """Send a request; return its status and whether the connection can carry another one."""
        sock.sendall(
            b"GET /%s/x HTTP/1.1\r\nHost: %s\r\nLoomyard-Attempt-Id: %s\r\nConnection: %s\r\n"
            b"Loomyard-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n\r\n"
            % (
                route.encode(),
                HOST.encode(),
                (attempt_id or f"a{next(self.numbers)}").encode(),
                connection,
                round(REQUEST_SECONDS * 1000),
                key.encode(),
            )
        )
        data = b""
        with gevent.Timeout(REQUEST_SECONDS + 2.0, TimeoutError):
            while not data.endswith(b"\r\n\r\nok"):
                block = sock.recv(65536)
                if not block:
                    break
                data += block
        found = STATUS.match(data)
        return int(found[1]) if found else 0, b"Connection: close" not in data and bool(found)

    def run_kept(self, host: str, until: Callable[[], bool]) -> None:
        """Send request after request on one connection, and on another one once it closes."""
        sock = None
        while not until():
            sock = sock or socket.create_connection((host, documents.FRONT_PORT))
            status, is_open = self.call(sock, b"keep-alive")
            self.statuses.append(status)
            if not is_open:
                sock.close()
                sock = None
            gevent.sleep(0.05)

    def run_new(self, host: str) -> None:
        """Send a request on a connection of its own."""
        with socket.create_connection((host, documents.FRONT_PORT)) as sock:
            self.statuses.append(self.call(sock, b"close")[0])

    def leave(self, target: Target) -> None:
        """Publish that a target drains."""
        entry = json.loads(
            documents.announcement(
                SERVICE,
                f"{self.host}:{target.server.server_port}",
                data_centre="a",
                software_version="v1",
                born=1,
                draining=True,
                cold_seconds=0.0,
            )
        )
        self.put(documents.TARGETS_TOPIC, target.name, entry)

    def find_late(self) -> list[tuple[str, float]]:
        """Return the requests that began at a target after it stopped serving, by its ack."""
        left_at: dict[str, float] = {}
        for event in self.events:
            if "acked" in event and event["acked"].startswith("t"):
                # The first record announced the target, the next one that it leaves.
                left_at[event["acked"]] = event["at"]
        leaving = {target.name for target in self.left}
        return [
            (target.name, round(at - left_at[target.name], 3))
            for target in self.targets
            for at in target.began
            if target.name in leaving and at > left_at[target.name] + DRAIN_SECONDS
        ]

    def read_log(self) -> str:
        """Return the logs of all routers, which hold a part of the requests' lines."""
        return (self.folder / f"{ROUTER_MODULE}.log").read_text(encoding="utf-8")

    def count_codes(self, since: float) -> Counter[int]:
        """Count the result codes of requests that ended or were refused since a time."""
        gevent.sleep(LOG_SECONDS)
        results = RESULT.findall(self.read_log())
        return Counter(int(code) for at, code in results if float(at) >= since)

    def stall(self, seconds: float) -> None:
        """Let two routers stand still for some seconds while two targets leave."""
        ends_at = time.monotonic() + seconds
        for router in self.routers[:2]:
            router.signal(signal.SIGSTOP)
        for target in self.targets[len(self.left) : len(self.left) + 2]:
            self.leave(target)
            self.left.append(target)
            gevent.sleep(APART_SECONDS)
        gevent.sleep(ends_at - time.monotonic())
        for router in self.routers[:2]:
            router.signal(signal.SIGCONT)
        gevent.sleep(CALM_SECONDS)

    def check(self, *stalls: float) -> None:
        self.left: list[Target] = []
        started_at = boottime_seconds()
        ended = Event()
        tasks = [
            gevent.spawn(self.run_kept, host, ended.is_set)
            for host in self.hosts
            for _ in range(KEPT_CALLERS)
        ]

        def send_new() -> None:
            while not ended.is_set():
                tasks.extend(gevent.spawn(self.run_new, host) for host in self.hosts)
                gevent.sleep(NEW_INTERVAL_SECONDS)

        sender = gevent.spawn(send_new)
        gevent.sleep(CALM_SECONDS)
        for seconds in stalls:
            self.stall(seconds)
        ended.set()
        sender.join()
        gevent.joinall(tasks, raise_error=True)
        late = self.find_late()
        codes = self.count_codes(started_at)
        logger.info("%d requests, %s, late: %s", len(self.statuses), codes, late)
        self.assertEqual([], late)
        # A router that lags refuses requests as not run; the wait for a read refuses none.
        self.assertIn(0, codes)
        self.assertLessEqual(set(codes), {0, ResultCode.ROUTER_OVERLOADED})
        self.assertLessEqual(set(self.statuses), {200, 503})

    # Guards against routers that after a stop route by what they read before it.
    def test_a_router_that_stood_still_sends_nothing_to_targets_that_left_meanwhile(self) -> None:
        self.check(1.9, 2.6)

    # Guards against dropped routes and revoked keys that a router uses on after a stop.
    def test_a_router_that_stood_still_serves_no_route_and_no_key_dropped_meanwhile(self) -> None:
        stopped_at = time.monotonic()
        for router in self.routers:
            router.signal(signal.SIGSTOP)
        self.publish_routes("again", "dropped", "added")
        gevent.sleep(APART_SECONDS)
        self.publish_routes("again", "added", keys=(API_KEY,))
        gevent.sleep(stopped_at + LONG_STALL_SECONDS - LAST_SECONDS - time.monotonic())
        acked_at = max(event["at"] for event in self.events if "acked" in event)
        self.assertGreater(time.monotonic(), acked_at + CONFIG_APPLY_SECONDS)
        tasks = [gevent.spawn(self.call_late, host) for host in self.hosts]
        gevent.sleep(LAST_SECONDS)
        for router in self.routers:
            router.signal(signal.SIGCONT)
        gevent.joinall(tasks, raise_error=True)
        run = sorted(one for target in self.targets for one in target.ids if "late" in one)
        logger.info("statuses %s, ran %s", [task.value for task in tasks], run)
        self.assertEqual([], run)

    def call_late(self, host: str) -> list[int]:
        """Send requests that only an older version allows; return their statuses."""
        statuses = []
        for number in range(LATE_REQUESTS):
            use = {"route": "dropped"} if number % 2 else {"key": REVOKED_KEY}
            name = f"late-{host}-{number}"
            with socket.create_connection((host, documents.FRONT_PORT)) as sock:
                statuses.append(self.call(sock, b"close", attempt_id=name, **use)[0])
        return statuses


if __name__ == "__main__":
    unittest.main()
