"""Test case with a router on loopback, feeds in memory and scripted targets."""

from __future__ import annotations

import http.client
import math
import socket
import unittest
from contextlib import suppress
from typing import TYPE_CHECKING

import gevent
from attrs import define, field
from gevent.event import Event
from result import Err, Ok, Result

from loomyard.clock import SystemClock
from loomyard.errors import Fault, ResultCode
from loomyard_router.feeds.feed import Batch, Listing
from loomyard_router.feeds.feed_position import FeedPosition
from loomyard_router.feeds.keyed_record import KeyedRecord
from loomyard_router.platform.callers import PlatformCallers
from loomyard_router.platform.documents import find_evacuated_data_centre
from loomyard_router.platform.targets import PlatformTargets
from loomyard_router.routed_application import RoutedApplication, RoutedPlatform
from loomyard_router.routed_settings import RetryTerms, RoutedSettings
from loomyard_router.routes.account_config import AccountConfig
from loomyard_router.routes.caller_limits import CallerLimits
from loomyard_router.routes.kind import RouteKind
from loomyard_router.routes.route import Route
from loomyard_router.routes.route_table import RouteTable, make_route_table
from loomyard_router.routes.service_config import EngineConfig, ServiceConfig
from loomyard_router.routes.weighted_service import WeightedService
from test_loomyard_router.test_routed.scripted_target import Script, ScriptedTarget

if TYPE_CHECKING:
    from loomyard_router.announced.announced_target import AnnouncedTarget

WAIT = 10.0


@define(eq=False)
class MemoryFeed:
    """Feed in memory; while ``down``, every call fails."""

    name: str
    records: list[KeyedRecord] = field(factory=list)
    down: bool = False
    _changed: Event = field(factory=Event)

    def put(self, key: str, value: bytes | None) -> None:
        record = KeyedRecord(key=key, value=value, offset=len(self.records))
        self.records.append(record)
        self._wake()

    def lose(self) -> None:
        """Make every read fail, also pending ones."""
        self.down = True
        self._wake()

    def _wake(self) -> None:
        changed, self._changed = self._changed, Event()
        changed.set()

    def fetch_listing(self, deadline: float) -> Result[Listing, Fault]:
        if self.down:
            return self._fault()
        newest = {record.key: record for record in self.records}
        kept = [record for record in newest.values() if record.value is not None]
        return Ok(Listing(records=kept, position=FeedPosition(0, len(self.records))))

    def read(self, offset: int, wait_until: float) -> Result[Batch, Fault]:
        if self.down:
            return self._fault()
        if offset >= len(self.records):
            self._changed.wait()
        if self.down:
            return self._fault()
        return Ok(Batch(records=self.records[offset:], position=FeedPosition(0, len(self.records))))

    def _fault(self) -> Err[Fault]:
        return Err(Fault(code=ResultCode.LOG_UNAVAILABLE, detail="down"))


class RoutedCase(unittest.TestCase):
    """Start a router; its feeds carry the index of a target or table in ``objects``."""

    grace = 8.0
    most_connections = 100
    body_bytes = 64 << 20

    def setUp(self) -> None:
        self.objects: list[object] = []
        self.tables = MemoryFeed("tables")
        self.targets = MemoryFeed("targets")
        self.started: list[ScriptedTarget] = []
        self.router = RoutedApplication(
            RoutedSettings(
                name="router-1",
                listen="127.0.0.1:0",
                ready_listen="127.0.0.1:0",
                store="",
                grace=self.grace,
                feed_pace=0.0,
                most_connections=self.most_connections,
                body_bytes=self.body_bytes,
                # Results must not depend on the load of the VM that runs the tests.
                most_lag=math.inf,
                retries=RetryTerms(ratio=0.2, window=10.0, slack=20.0),
            ),
            self.platform(),
        )
        self.router.start()
        self.addCleanup(self.router.stop)

    def platform(self) -> RoutedPlatform:
        """Return the feeds in memory and the codecs of the platform."""
        return RoutedPlatform(
            clock=SystemClock(),
            tables=self.tables,
            table_key="table",
            decode_table=lambda data: Ok(self.objects[int(data)]),
            find_evacuated_data_centre=find_evacuated_data_centre,
            targets=self.targets,
            decode_target=lambda _, data: Ok(self.objects[int(data)]),
            caller_codec=PlatformCallers(),
            target_codec=PlatformTargets(),
            ready_path="/readyz",
        )

    def publish(self, *routes: Route, version: int = 1, **changes: object) -> None:
        """Put a configuration in force."""
        services = [
            ServiceConfig(name="engine", engine=EngineConfig(slots=4)),
            ServiceConfig(name="plain"),
        ]
        fields = {
            "version": version,
            "routes": routes,
            "services": services,
            "accounts": [AccountConfig(name="north", keys=("key-n",))],
            "limits": CallerLimits(),
        }
        table = make_route_table(**fields | changes)
        self.tables.put("table", self._keep(table))
        self.until(lambda: self.router.holder.version >= version)

    def target(self, id_: str, script: Script, service: str = "plain") -> ScriptedTarget:
        """Start a target and announce it."""
        target = ScriptedTarget(id_, service, script)
        target.start()
        self.addCleanup(target.stop)
        self.announce(target.announced())
        return target

    def announce(self, target: AnnouncedTarget) -> None:
        """Announce a target or its changed state, and wait until the router knows it."""
        self.targets.put(target.id, self._keep(target))
        self.until(lambda: target in self.router.registry.listed())

    def until(self, condition: object) -> None:
        """Wait until a condition holds."""
        with gevent.Timeout(WAIT):
            while not condition():  # type: ignore[operator]
                gevent.sleep(0.002)

    def connect(self) -> socket.socket:
        """Open a connection of a caller."""
        sock = socket.create_connection(("127.0.0.1", self.router.port), timeout=WAIT)
        self.addCleanup(sock.close)
        return sock

    def call(
        self,
        path: str = "/p/x",
        *,
        method: str = "POST",
        body: bytes = b"hello",
        sock: socket.socket | None = None,
        **headers: str,
    ) -> http.client.HTTPResponse:
        """Send a request and read the whole answer into ``.data``."""
        sock = sock or self.connect()
        sock.sendall(request_bytes(path, method=method, body=body, **headers))
        response = http.client.HTTPResponse(sock, method=method)
        response.begin()
        response.data = response.read()  # type: ignore[attr-defined]
        return response

    def cut(self, path: str, **headers: str) -> bytes:
        """Send a request whose answer is cut off, and return all bytes received."""
        sock = self.connect()
        sock.sendall(request_bytes(path, **headers))
        data = b""
        with suppress(ConnectionError):
            while block := sock.recv(65536):
                data += block
        return data

    def _keep(self, item: RouteTable | AnnouncedTarget) -> bytes:
        self.objects.append(item)
        return str(len(self.objects) - 1).encode()


def route(prefix: str = "/p/", service: str = "plain", **changes: object) -> Route:
    """Return a route."""
    fields = {
        "name": f"r{prefix}",
        "host": "a.example",
        "prefix": prefix,
        "kind": RouteKind.NON_IDEMPOTENT,
        "weighted_services": (WeightedService(service=service),),
        "timeout": 5.0,
        "objective": 0.4,
        "max_attempts": 2,
    }
    return Route(**fields | changes)


def request_bytes(
    path: str, *, method: str = "POST", body: bytes = b"hello", **headers: str
) -> bytes:
    """Return a request with the platform's headers; names take underscores for dashes."""
    fields = {
        "Host": "a.example",
        "Loomyard-Attempt-Id": "attempt-1",
        "Loomyard-Deadline-Ms": "5000",
        "Authorization": "Bearer key-n",
    }
    fields |= {name.replace("_", "-"): value for name, value in headers.items()}
    if body:
        fields["Content-Length"] = str(len(body))
    lines = [f"{name}: {value}" for name, value in fields.items() if value]
    return "\r\n".join([f"{method} {path} HTTP/1.1", *lines, "", ""]).encode() + body
