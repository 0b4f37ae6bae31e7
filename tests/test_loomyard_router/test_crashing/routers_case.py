"""Test fixture: connected routers on loopback, and targets that crash under poison requests."""

from __future__ import annotations

import http.client
import math
import socket
from contextlib import suppress
from typing import TYPE_CHECKING

import gevent
from attrs import define, field

from loomyard_router.routed_application import RoutedApplication
from loomyard_router.routed_settings import RetryTerms, RoutedSettings
from loomyard_router.routes.service_config import EngineConfig, ServiceConfig
from test_loomyard_router.test_routed.routed_case import WAIT, RoutedCase, request_bytes
from test_loomyard_router.test_routed.scripted_target import (
    Received,
    ScriptedTarget,
    answer,
    chunk,
    event,
    stream_head,
)

if TYPE_CHECKING:
    from loomyard_router.routes.route import Route

# A request whose body begins with this crashes its target.
POISON_BODY = b"ends targets"
ENGINES = ServiceConfig(name="engine", health_path="/health", engine=EngineConfig(slots=4))
# Number of running targets; a crashed one is replaced under a new id.
TARGETS = 4
# Time by which crash records have reached every connected router; users accept three seconds.
PROPAGATION_SECONDS = 1.0
SECRET = ("a secret of these tests",)


@define(eq=False)
class CrashingTarget(ScriptedTarget):
    """A target that crashes, with all requests running there, when a poison request starts."""

    streams: bool = False
    # A proxy still accepts connections after the crash and answers with errors.
    behind_proxy: bool = False
    crashed: bool = False
    _open: set[socket.socket] = field(factory=set)

    def serve_one(self, request: Received, sock: socket.socket) -> bool:
        """Answer a request after a short delay, so that requests run concurrently."""
        if self.crashed:
            self._answer_as_proxy(sock)
            return True
        if request.line.startswith("GET /health"):
            sock.sendall(health(self.id))
            return False
        self._open.add(sock)
        if self.streams:
            after = int(request.headers.get("last-event-id") or 0)
            sock.sendall(stream_head(request))
            sock.sendall(chunk(event(after + 1)))
        gevent.sleep(0.02)
        if request.body.startswith(POISON_BODY):
            self.crash()
        if self.crashed:
            return True
        if self.streams:
            sock.sendall(b"0\r\n\r\n")
        else:
            sock.sendall(answer(request))
        return False

    def crash(self) -> None:
        """Break all connections and stop listening."""
        self.crashed = True
        if not self.behind_proxy:
            self.stop()
        for sock in self._open:
            with suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
        self._open.clear()

    def _answer_as_proxy(self, sock: socket.socket) -> None:
        sock.sendall(b"HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n")


def health(id_: str) -> bytes:
    """Return a target's answer to a health check."""
    return f"HTTP/1.1 200 OK\r\nLoomyard-Instance-Id: {id_}\r\nContent-Length: 0\r\n\r\n".encode()


class RoutersCase(RoutedCase):
    """Three connected routers that share the feeds of ``RoutedCase``."""

    def setUp(self) -> None:
        super().setUp()
        # The router of ``RoutedCase`` is not connected to others, so it is replaced.
        self.router.stop()
        self.routers = [self.start_router(f"router-{number}") for number in range(3)]
        self.router = self.routers[0]
        self.ids = 0
        self.all_targets: list[CrashingTarget] = []

    def start_router(self, name: str) -> RoutedApplication:
        """Start one more router, which joins the others by the first one."""
        running = getattr(self, "routers", None) or getattr(self, "running_routers", [])
        seeds = (running[0].members.own.address,) if running else ()
        router = RoutedApplication(
            RoutedSettings(
                name=name,
                listen="127.0.0.1:0",
                ready_listen="127.0.0.1:0",
                store="",
                peer_listen="127.0.0.1:0",
                seeds=seeds,
                fleet_secret=SECRET,
                feed_pace=0.0,
                # Results must not depend on the load of the host.
                most_lag=math.inf,
                retries=RetryTerms(ratio=0.2, window=10.0, slack=2000.0),
            ),
            self.platform(),
        )
        router.start()
        self.addCleanup(router.stop)
        self.running_routers = [*running, router]
        self.until(
            lambda: all(
                len(one.members.live()) == len(self.running_routers) for one in self.running_routers
            )
        )
        return router

    def serve(
        self,
        served: Route,
        *,
        service: str = "plain",
        streams: bool = False,
        behind_proxy: bool = False,
    ) -> None:
        """Publish a route and start targets for it."""
        for _ in range(TARGETS):
            self.add_target(service, streams=streams, behind_proxy=behind_proxy)
        self.publish(served, services=[ServiceConfig(name="plain", health_path="/health"), ENGINES])
        self.until(lambda: all(router.ready for router in self.routers))

    def add_target(
        self, service: str, *, streams: bool = False, behind_proxy: bool = False
    ) -> CrashingTarget:
        """Start a target under a new id."""
        number = len(self.all_targets)
        target = CrashingTarget(
            f"t{number}", service, lambda *_: None, streams=streams, behind_proxy=behind_proxy
        )
        target.script = target.serve_one
        target.start()
        self.addCleanup(target.stop)
        self.all_targets.append(target)
        self.announce(target.announced())
        return target

    def ask(
        self, router: RoutedApplication, body: bytes, **headers: str
    ) -> tuple[int, http.client.HTTPMessage | None]:
        """Send a request with a new id; return status and headers, 0 if the connection closed."""
        self.ids += 1
        with socket.create_connection(("127.0.0.1", router.port), timeout=WAIT) as sock:
            sock.sendall(
                request_bytes(
                    "/p/x", body=body, Loomyard_Attempt_Id=f"attempt-{self.ids}", **headers
                )
            )
            response = http.client.HTTPResponse(sock, method="POST")
            try:
                response.begin()
                response.read()
            except (http.client.HTTPException, ConnectionError):
                return 0, None
            return response.status, response.headers

    def replace_crashed(self) -> None:
        """Delete the entries of crashed targets and start others under new ids."""
        running = [target for target in self.all_targets if not target.crashed]
        for target in self.all_targets:
            if target.crashed and target.id not in self.withdrawn:
                self.withdrawn.add(target.id)
                self.targets.put(target.id, None)
        for _ in range(TARGETS - len(running)):
            some = self.all_targets[0]
            self.add_target(some.service, streams=some.streams, behind_proxy=some.behind_proxy)

    def wait_until_unused(self) -> None:
        """Wait until no router uses a crashed target; entries that vanish together have a grace."""
        crashed_ids = {target.id for target in self.all_targets if target.crashed}
        service = self.all_targets[0].service
        self.until(
            lambda: not any(
                target.id in crashed_ids
                for one in self.running_routers
                for target in one.registry.usable(service)
            )
        )

    @property
    def withdrawn(self) -> set[str]:
        """Return the ids of targets whose entries were deleted."""
        if not hasattr(self, "_withdrawn"):
            self._withdrawn: set[str] = set()
        return self._withdrawn

    @property
    def crashed(self) -> int:
        """Return how many targets have crashed."""
        return sum(target.crashed for target in self.all_targets)

    def times_sent(self, body: bytes) -> int:
        """Return how often requests with a body reached a target."""
        return sum(
            request.body == body for target in self.all_targets for request in target.received
        )
