"""Routers on loopback that hear of each other, and targets that end under certain requests."""

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
from loomyard_router.routes.service_terms import EngineTerms, ServiceTerms
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

# A body that begins so ends each target that begins to run it.
ENDING = b"ends targets"
ENGINES = ServiceTerms(name="engine", health_path="/health", engine=EngineTerms(slots=4))
# How many targets stand at any time; one that ended is replaced under a new id.
TARGETS = 4
# By then news has reached every router in touch; the users allow three seconds and more.
TOLD_SECONDS = 1.0
SECRET = ("a secret of these tests",)


@define(eq=False)
class EndingTarget(ScriptedTarget):
    """A target that ends, with all that runs there, when it begins to run certain requests."""

    streams: bool = False
    # Something in front goes on accepting connections after the end, and answers for the target.
    fronted: bool = False
    ended: bool = False
    _open: set[socket.socket] = field(factory=set)

    def serve_one(self, request: Received, sock: socket.socket) -> bool:
        """Answer a request; work takes a moment, so that others run beside it."""
        if self.ended:
            self._answer_in_front(sock)
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
        if request.body.startswith(ENDING):
            self.end()
        if self.ended:
            return True
        if self.streams:
            sock.sendall(b"0\r\n\r\n")
        else:
            sock.sendall(answer(request))
        return False

    def end(self) -> None:
        """End: break all connections and listen no longer."""
        self.ended = True
        if not self.fronted:
            self.stop()
        for sock in self._open:
            with suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
        self._open.clear()

    def _answer_in_front(self, sock: socket.socket) -> None:
        sock.sendall(b"HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n")


def health(id_: str) -> bytes:
    """Return the answer of a target that is asked for its health."""
    return f"HTTP/1.1 200 OK\r\nLoomyard-Instance-Id: {id_}\r\nContent-Length: 0\r\n\r\n".encode()


class RoutersCase(RoutedCase):
    """Some routers that share the feeds of ``RoutedCase``."""

    def setUp(self) -> None:
        super().setUp()
        # The first one of the case is told of no others.
        self.router.stop()
        self.routers = [self.start_router(f"router-{number}") for number in range(3)]
        self.router = self.routers[0]
        self.ids = 0
        self.all_targets: list[EndingTarget] = []

    def start_router(self, name: str) -> RoutedApplication:
        """Start one more router, which finds the others at the first one."""
        running = getattr(self, "routers", None) or getattr(self, "begun", [])
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
                # No verdict may hang on how busy the machine is.
                most_lag=math.inf,
                retries=RetryTerms(ratio=0.2, window=10.0, slack=2000.0),
            ),
            self.platform(),
        )
        router.start()
        self.addCleanup(router.stop)
        self.begun = [*running, router]
        self.until(lambda: all(len(one.members.live()) == len(self.begun) for one in self.begun))
        return router

    def serve(
        self,
        served: Route,
        *,
        service: str = "plain",
        streams: bool = False,
        fronted: bool = False,
    ) -> None:
        """Put a route in force and start targets for it."""
        for _ in range(TARGETS):
            self.add_target(service, streams=streams, fronted=fronted)
        self.publish(served, services=[ServiceTerms(name="plain", health_path="/health"), ENGINES])
        self.until(lambda: all(router.ready for router in self.routers))

    def add_target(
        self, service: str, *, streams: bool = False, fronted: bool = False
    ) -> EndingTarget:
        """Start a target under a new id."""
        number = len(self.all_targets)
        target = EndingTarget(
            f"t{number}", service, lambda *_: None, streams=streams, fronted=fronted
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
        """Ask under a new id; return status and headers, 0 where the connection was closed."""
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

    def replace_ended(self) -> None:
        """Let those that ended start again under new ids, as they do some seconds later."""
        standing = [target for target in self.all_targets if not target.ended]
        for target in self.all_targets:
            if target.ended and target.id not in self.withdrawn:
                self.withdrawn.add(target.id)
                self.targets.put(target.id, None)
        for _ in range(TARGETS - len(standing)):
            some = self.all_targets[0]
            self.add_target(some.service, streams=some.streams, fronted=some.fronted)

    def forget_ended(self) -> None:
        """Wait until no router uses a target that ended; several that vanish at once may return."""
        gone = {target.id for target in self.all_targets if target.ended}
        service = self.all_targets[0].service
        self.until(
            lambda: not any(
                target.id in gone for one in self.begun for target in one.registry.usable(service)
            )
        )

    @property
    def withdrawn(self) -> set[str]:
        """Return the ids of targets whose announcements were taken away."""
        if not hasattr(self, "_withdrawn"):
            self._withdrawn: set[str] = set()
        return self._withdrawn

    @property
    def ended(self) -> int:
        """Return how many targets have ended."""
        return sum(target.ended for target in self.all_targets)

    def sent(self, body: bytes) -> int:
        """Return how often a request reached a target."""
        return sum(
            request.body == body for target in self.all_targets for request in target.received
        )
