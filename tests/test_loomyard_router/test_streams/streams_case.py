"""Test case with connected routers and targets of two software versions that stream events."""

from __future__ import annotations

import http.client
import re
import socket
from contextlib import suppress
from typing import TYPE_CHECKING

from attrs import define

from loomyard_router.routes.kind import RouteKind
from loomyard_router.routes.service_config import EngineConfig, ServiceConfig
from test_loomyard_router.test_crashing.routers_case import RoutersCase, health
from test_loomyard_router.test_routed.routed_case import WAIT, request_bytes, route
from test_loomyard_router.test_routed.scripted_target import (
    Received,
    ScriptedTarget,
    chunk,
    stream_head,
)

if TYPE_CHECKING:
    from loomyard_router.announced.announced_target import AnnouncedTarget
    from loomyard_router.routed_application import RoutedApplication

EVENTS = 4
OLD, NEW = "v1", "v1.1"
_EVENT = re.compile(rb"id: (\d+)\ndata: (\S+)\n\n")


@define(eq=False)
class StreamingTarget(ScriptedTarget):
    """A target whose events name it.

    It breaks off each stream that does not continue another, unless ``breaks_off`` is false.
    """

    software_version: str = ""
    breaks_off: bool = True

    def announced(self, **changes: object) -> AnnouncedTarget:
        return super().announced(software_version=self.software_version, slots=64, **changes)

    def serve_one(self, request: Received, sock: socket.socket) -> bool:
        """Answer a health check or a request; return whether to close the connection."""
        if request.line.startswith("GET /health"):
            sock.sendall(health(self.id))
            return False
        after = request.headers.get("last-event-id")
        first = 0 if after is None else int(after) + 1
        cut = after is None and self.breaks_off
        last = 0 if cut else EVENTS - 1
        sock.sendall(stream_head(request))
        for number in range(first, last + 1):
            sock.sendall(chunk(f"id: {number}\ndata: {self.id}\n\n".encode()))
        if cut:
            return True
        sock.sendall(b"0\r\n\r\n")
        return False


@define
class Seen:
    """What a caller got of one attempt: status, targets by event number, whether it was whole."""

    status: int
    targets: dict[int, str]
    whole: bool
    attempt_id: str


class StreamsCase(RoutersCase):
    """Three routers, two targets of each version in each service, and callers that resume."""

    def setUp(self) -> None:
        super().setUp()
        self.streaming: dict[str, StreamingTarget] = {}
        self.sent = 0

    def add(self, service: str, software_version: str) -> StreamingTarget:
        """Start a target and announce it."""
        id_ = f"t{len(self.streaming)}"
        target = StreamingTarget(id_, service, lambda *_: None, software_version=software_version)
        target.script = target.serve_one
        target.start()
        self.addCleanup(target.stop)
        self.streaming[id_] = target
        self.announce(target.announced())
        return target

    def add_two_of_each(self, service: str = "engine") -> None:
        for software_version in (OLD, OLD, NEW, NEW):
            self.add(service, software_version)

    def publish_streams(self, *, version: int = 1, **changes: object) -> None:
        """Put a route of streams in force at all routers."""
        fields: dict[str, object] = {
            "service": "engine",
            "kind": RouteKind.STREAM,
            "resumable": True,
        }
        engine = EngineConfig(slots=64)
        services = [
            ServiceConfig(name=name, health_path="/health", engine=engine)
            for name in ("engine", "other")
        ]
        self.publish(route(**fields | changes), services=services, version=version)
        self.until(
            lambda: all(one.ready and one.holder.version >= version for one in self.running_routers)
        )

    def stream(self, router: RoutedApplication, *, events: int = EVENTS, **headers: str) -> Seen:
        """Send a request, read that many events and close the connection."""
        self.sent += 1
        attempt_id = f"attempt-{self.sent}"
        with socket.create_connection(("127.0.0.1", router.port), timeout=WAIT) as sock:
            sock.sendall(request_bytes("/p/x", Loomyard_Attempt_Id=attempt_id, **headers))
            response = http.client.HTTPResponse(sock, method="POST")
            response.begin()
            data, whole = b"", False
            with suppress(http.client.HTTPException, ConnectionError):
                while len(_EVENT.findall(data)) < events:
                    if not (block := response.read1(4096)):
                        whole = True
                        break
                    data += block
            seen = {int(number): name.decode() for number, name in _EVENT.findall(data)}
            return Seen(response.status, seen, whole, attempt_id)

    def take_up(self, router: RoutedApplication, first: Seen) -> Seen:
        """Take up a stream at a router as its caller does."""
        return self.stream(router, Last_Event_Id=str(max(first.targets)), Resumes=first.attempt_id)

    def versions(self, *seen: Seen) -> set[tuple[str, str]]:
        """Return services and software versions of the events of a stream."""
        named = {name for one in seen for name in one.targets.values()}
        return {
            (self.streaming[name].service, self.streaming[name].software_version) for name in named
        }
