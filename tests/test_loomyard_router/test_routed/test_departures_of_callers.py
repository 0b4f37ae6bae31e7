"""Tests that the work for a caller ends soon after the caller has left."""

from __future__ import annotations

import http.client
import itertools
import socket
import struct
import unittest

import gevent
import gevent.event

from loomyard_router.routes.kind import RouteKind
from test_loomyard_router.test_routed.routed_case import RoutedCase, request_bytes, route
from test_loomyard_router.test_routed.scripted_target import (
    Received,
    ScriptedTarget,
    answer,
    chunk,
    event,
    stream_head,
)

# Users accept work for a caller that left for half a second.
NOTICE_SECONDS = 0.5
BODY = b"p" * 60_000
PART_BYTES = 15_000
LATE_SECONDS = 0.15
STREAM = {"kind": RouteKind.STREAM, "resumable": True}
REPEATABLE = {"kind": RouteKind.IDEMPOTENT}


def head(body: str, attempt_id: str) -> bytes:
    """Return a head for a body with a length or in chunks."""
    size = {"Content-Length": str(len(BODY))}
    framing = {"Transfer-Encoding": "chunked"} if "chunked" in body else size
    fields = {"Loomyard_Attempt_Id": attempt_id, **framing}
    return request_bytes("/p/x", body=b"", **fields)


def send(sock: socket.socket, body: str, attempt_id: str) -> None:
    """Send a request whose body goes out as the name says."""
    parts = [BODY[at : at + PART_BYTES] for at in range(0, len(BODY), PART_BYTES)]
    if "chunked" in body:
        parts = [chunk(part) for part in parts] + [b"0\r\n\r\n"]
    if "whole" in body:
        sock.sendall(head(body, attempt_id) + b"".join(parts))
        return
    sock.sendall(head(body, attempt_id))
    gevent.sleep(LATE_SECONDS if "late" in body else 0.005)
    for part in parts:
        sock.sendall(part)
        gevent.sleep(LATE_SECONDS / 4 if "slow" in body else 0.005)


def leave(sock: socket.socket, *, reset: bool) -> None:
    if reset:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


class DeparturesTest(RoutedCase):
    def setUp(self) -> None:
        super().setUp()
        # By attempt id: set when the target sees that the router has closed.
        self.closed: dict[str, gevent.event.Event] = {}

    def serve(self, request: Received, sock: socket.socket) -> bool | None:
        """Answer what is kept at once; of the rest begin a stream or nothing, and wait."""
        if request.attempt_id.startswith("kept"):
            sock.sendall(answer(request))
            return None
        closed = self.closed.setdefault(request.attempt_id, gevent.event.Event())
        if "streams" in request.attempt_id:
            sock.sendall(stream_head(request) + chunk(event(1)))
        try:
            while sock.recv(65536):
                pass
        finally:
            closed.set()
        return True

    def start(self, **kind: object) -> ScriptedTarget:
        target = self.target("t1", self.serve, "engine")
        self.announce(target.announced(slots=64))
        self.publish(route(service="engine", timeout=30.0, **kind))
        return target

    def leave_during(
        self, attempt_id: str, body: str, *, kept: bool, reset: bool, next_request: bool
    ) -> None:
        """Send a request, leave while it runs, and wait until its target sees that."""
        sock = self.connect()
        if kept:
            sock.sendall(request_bytes("/p/x", Loomyard_Attempt_Id="kept-1"))
            response = http.client.HTTPResponse(sock, method="POST")
            response.begin()
            self.assertEqual(b"whole", response.read())
        send(sock, body, attempt_id)
        self.until(lambda: attempt_id in self.closed)
        if "streams" in attempt_id:
            self.assertIn(b"200 OK", sock.recv(65536))
        if next_request:
            sock.sendall(request_bytes("/p/x", Loomyard_Attempt_Id="kept-next"))
            gevent.sleep(0.05)
        leave(sock, reset=reset)
        with gevent.Timeout(NOTICE_SECONDS, AssertionError(f"{attempt_id}: still at work")):
            self.closed[attempt_id].wait()

    # Guards against a watch that ends with the rest of a body, or with a next request.
    def test_a_target_stops_soon_after_its_caller_left_whatever_the_body_and_the_moment(
        self,
    ) -> None:
        for kind, name in ((STREAM, "stream"), (REPEATABLE, "idempotent")):
            self.start(**kind)
            forms = (
                "whole",
                "parts",
                "chunked whole",
                "chunked parts",
                "late",
                "slow",
                "slow chunked",
            )
            cases = itertools.product(forms, (False, True), (False, True), (False, True))
            tasks = []
            moments = ("reads", "streams") if kind is STREAM else ("reads",)
            for number, (body, kept, reset, next_request) in enumerate(cases):
                for moment in moments:
                    attempt_id = f"{name}-{moment}-{number}-{body.replace(' ', '-')}"
                    options = {"kept": kept, "reset": reset, "next_request": next_request}
                    tasks.append(gevent.spawn(self.leave_during, attempt_id, body, **options))
                if len(tasks) >= 16:
                    gevent.joinall(tasks, raise_error=True)
                    tasks.clear()
            gevent.joinall(tasks, raise_error=True)

    def test_a_body_that_ends_early_reaches_no_target(self) -> None:
        target = self.start(**STREAM)
        for body, reset in itertools.product(("parts", "chunked parts"), (False, True)):
            sock = self.connect()
            sock.sendall(
                head(body, "cut") + (chunk(BODY[:100]) if "chunked" in body else BODY[:100])
            )
            gevent.sleep(0.02)
            leave(sock, reset=reset)
        self.call(Loomyard_Attempt_Id="kept-1")
        self.assertEqual(["kept-1"], [one.attempt_id for one in target.received])

    def test_a_request_whose_caller_left_while_it_waited_reaches_no_target(self) -> None:
        target = self.target("t1", self.serve, "engine")
        self.announce(target.announced(slots=1))
        self.publish(route(service="engine", timeout=30.0, **STREAM))
        first = self.connect()
        send(first, "whole", "first")
        self.until(lambda: "first" in self.closed)
        for reset in (False, True):
            waiting = self.connect()
            send(waiting, "parts", f"waits-{reset}")
            gevent.sleep(0.1)
            leave(waiting, reset=reset)
        gevent.sleep(0.1)
        leave(first, reset=False)
        self.closed["first"].wait()
        self.assertEqual(b"whole", self.call(Loomyard_Attempt_Id="kept-1").data)
        self.assertEqual(["first", "kept-1"], [one.attempt_id for one in target.received])

    # Guards against a next request that is taken for a departure.
    def test_a_next_request_sent_before_the_answer_is_served_after_it(self) -> None:
        def serve(request: Received, sock: socket.socket) -> None:
            gevent.sleep(0.2)
            sock.sendall(answer(request, request.attempt_id.encode()))

        self.target("t1", serve)
        self.publish(route(**REPEATABLE))
        for body in (b"hello", BODY):
            sock = self.connect()
            file = sock.makefile("rb")
            first = request_bytes("/p/x", body=b"", Content_Length=str(len(body)))
            sock.sendall(first + body[:3])
            gevent.sleep(0.02)
            sock.sendall(body[3:])
            for number in range(3):
                gevent.sleep(0.02)
                sock.sendall(request_bytes("/p/x", Loomyard_Attempt_Id=f"next-{number}"))
            for name in ("attempt-1", "next-0", "next-1", "next-2"):
                self.assertIn(b"200 OK", file.readline())
                while file.readline() != b"\r\n":
                    pass
                self.assertEqual(name.encode(), file.read(len(name)))


if __name__ == "__main__":
    unittest.main()
