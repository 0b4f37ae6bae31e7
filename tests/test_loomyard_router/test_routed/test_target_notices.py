"""Tests of the notices of targets in their answers: that they leave, or ask for back-off.

They guard against a router that learns of a leaving target only from the platform's store and has
no back-off. With the store away, a target that says in every answer that it leaves then keeps
getting requests, and engines that refuse requests with a Retry-After of 3 s get up to 49 a second,
more than those that work. Here such a router sends the target 5 to 10 of 12 requests instead of 1.
"""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from test_loomyard_router.test_routed.routed_case import RoutedCase, request_bytes, route
from test_loomyard_router.test_routed.scripted_target import (
    Received,
    Script,
    ScriptedTarget,
    answer,
    chunk,
    event,
    hang,
    plain_script,
    stream_head,
)

if TYPE_CHECKING:
    import socket

SERVICES = ("plain", "engine")
ROUTES = tuple(route(f"/{service}/", service) for service in SERVICES)
LEAVING = "Server-Leaving: 1\r\n"
CALLS = 12


def leaving_script(request: Received, sock: socket.socket) -> None:
    """Answer every request, with the header that says that the target leaves."""
    sock.sendall(answer(request, extra=LEAVING))


def refuse_with_backoff(request: Received, sock: socket.socket) -> None:
    """Refuse every request and ask for a back-off of a minute."""
    extra = "Loomyard-Not-Executed: 1\r\nRetry-After: 60\r\n"
    sock.sendall(answer(request, b"", status="503 Service Unavailable", extra=extra))


class TargetNoticesTest(RoutedCase):
    def test_a_target_that_says_that_it_leaves_gets_no_more_requests(self) -> None:
        leaving, staying = self.start_targets(leaving_script), self.start_targets(plain_script)
        self.publish(*ROUTES)
        self.targets.lose()
        for service in SERVICES:
            self.call_often(service)
            with self.subTest(service=service):
                self.assertEqual(1, len(leaving[service].received))
                self.assertEqual(CALLS - 1, len(staying[service].received))

    def test_a_target_that_asks_for_back_off_gets_no_requests_in_that_time(self) -> None:
        backing_off, serving = self.start_targets(refuse_with_backoff), self.start_targets(
            plain_script
        )
        self.publish(*ROUTES)
        for service in SERVICES:
            self.call_often(service)
            with self.subTest(service=service):
                self.assertEqual(1, len(backing_off[service].received))
                self.assertEqual(CALLS, len(serving[service].received))

    def test_notices_count_in_all_kinds_of_answers(self) -> None:
        scripts: dict[str, Script] = {
            "success": leaving_script,
            "an error of its own": lambda request, sock: sock.sendall(
                answer(request, status="500 Internal Server Error", extra=LEAVING)
            ),
            "not run": lambda request, sock: sock.sendall(
                answer(
                    request,
                    status="503 Service Unavailable",
                    extra=f"Loomyard-Not-Executed: 1\r\n{LEAVING}",
                )
            ),
            "an answer to another request": lambda request, sock: sock.sendall(
                answer(request, echo="another", extra=LEAVING)
            ),
            "an answer that breaks off": lambda request, sock: (
                sock.sendall(answer(request, extra=LEAVING)[:-1]),
                sock.close(),
            ),
            "a stream that goes on": self.begin_stream,
        }
        self.publish(*ROUTES)
        for number, (kind, script) in enumerate(scripts.items()):
            target = self.target(f"t{number}", script)
            with self.subTest(kind=kind):
                self.connect().sendall(request_bytes("/plain/x"))
                self.until(lambda target=target: self.leaves(target))
                self.assertEqual(1, len(target.received))

    def test_metrics_count_the_notices(self) -> None:
        self.target("t1", refuse_with_backoff)
        self.target("t2", leaving_script)
        self.publish(*ROUTES)
        for number in range(CALLS):
            self.call("/plain/x", Loomyard_Attempt_Id=f"a{number}")
        environ = {"PATH_INFO": "/metrics", "REQUEST_METHOD": "GET"}
        text = b"".join(self.router._metrics._serve(environ, lambda *_: None)).decode()
        for line in (
            "loomyard_targets_resting 1.0",
            "loomyard_targets_said_leaving_total 1.0",
            "loomyard_target_rests_asked_total 1.0",
        ):
            self.assertIn(line, text)

    def test_notices_of_another_target_at_the_address_are_ignored(self) -> None:
        def misdirect(_: Received, sock: socket.socket) -> None:
            head = f"HTTP/1.1 421 Misdirected Request\r\n{LEAVING}Retry-After: 60\r\n"
            sock.sendall(f"{head}Content-Length: 0\r\n\r\n".encode())

        target = self.target("t1", misdirect)
        self.publish(*ROUTES)
        self.assertEqual(503, self.call("/plain/x").status)
        self.assertTrue(self.router.registry.is_usable(target.announced()))

    def test_a_request_that_only_targets_in_back_off_could_serve_is_refused_at_once(self) -> None:
        backing_off = self.start_targets(refuse_with_backoff)
        self.publish(*ROUTES)
        for service in SERVICES:
            with self.subTest(service=service):
                for number in range(CALLS):
                    response = self.call(f"/{service}/x", Loomyard_Attempt_Id=f"a{number}")
                    self.assertEqual(503, response.status)
                    self.assertGreater(float(response.headers["Retry-After"]), 0)
                self.assertEqual(1, len(backing_off[service].received))

    def begin_stream(self, request: Received, sock: socket.socket) -> None:
        """Begin a stream, say that the target leaves, and go on."""
        sock.sendall(stream_head(request).replace(b"\r\n\r\n", f"\r\n{LEAVING}\r\n".encode()))
        sock.sendall(chunk(event(1)))
        hang(request, sock)

    def leaves(self, target: ScriptedTarget) -> bool:
        """Tell whether the router sends a target no new requests, as it leaves."""
        return not self.router.registry.is_usable(target.announced())

    def start_targets(self, script: Script) -> dict[str, ScriptedTarget]:
        """Start a target of each service."""
        number = len(self.started)
        started = {
            service: self.target(f"t{number}-{service}", script, service) for service in SERVICES
        }
        self.started += started.values()
        return started

    def call_often(self, service: str) -> None:
        """Send requests one after the other; all have to be served."""
        for number in range(CALLS):
            response = self.call(f"/{service}/x", Loomyard_Attempt_Id=f"{service}-{number}")
            self.assertEqual(200, response.status)


if __name__ == "__main__":
    unittest.main()
