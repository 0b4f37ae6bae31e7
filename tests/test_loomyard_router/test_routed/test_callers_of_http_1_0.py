"""Tests of callers that speak HTTP/1.0, whose answers may end with their connection alone."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

import gevent

from loomyard_router.routes.kind import RouteKind
from test_loomyard_router.test_routed.early_target import answer_head, reset
from test_loomyard_router.test_routed.routed_case import RoutedCase, request_bytes, route
from test_loomyard_router.test_routed.scripted_target import (
    Received,
    Script,
    answer,
    chunk,
    event,
    hang,
    stream_head,
)

if TYPE_CHECKING:
    import socket

EVENTS = event(1) + event(2)
# More than a router keeps back until it has the whole of an answer.
LONG_BODY = b"x" * (2 << 20)


class CallersOfHttp10Test(RoutedCase):
    def serve(self, script: Script) -> None:
        self.target("t1", script)
        self.publish(
            route("/n/", max_attempts=1),
            route("/s/", kind=RouteKind.STREAM, max_attempts=1),
        )

    def ask(self, path: str) -> socket.socket:
        """Send a request of HTTP/1.0."""
        sock = self.connect()
        sock.sendall(request_bytes(path).replace(b"HTTP/1.1", b"HTTP/1.0"))
        return sock

    def read(self, sock: socket.socket) -> tuple[bytes, bytes, bool]:
        """Return the status and the body, and whether its connection ended in an orderly way."""
        data = b""
        orderly = True
        try:
            while block := sock.recv(65536):
                data += block
        except ConnectionResetError:
            orderly = False
        head, _, body = data.partition(b"\r\n\r\n")
        return head[9:12], body, orderly

    # Guards against a part of a stream that looks whole, as neither length nor chunks tell its end.
    def test_a_stream_that_its_target_breaks_off_ends_by_a_reset(self) -> None:
        for pause in (0.0, 0.1):

            def script(request: Received, sock: socket.socket, pause: float = pause) -> None:
                sock.sendall(stream_head(request) + chunk(EVENTS))
                gevent.sleep(pause)
                reset(sock)

            self.serve(script)
            with self.subTest(pause=pause):
                status, _, orderly = self.read(self.ask("/s/x"))
                # A failure is whole.
                self.assertEqual(status == b"502", orderly)

    def test_the_events_before_a_reset_arrive(self) -> None:
        def script(request: Received, sock: socket.socket) -> None:
            sock.sendall(stream_head(request) + chunk(EVENTS))
            gevent.sleep(0.1)
            reset(sock)

        self.serve(script)
        self.assertEqual((b"200", EVENTS, False), self.read(self.ask("/s/x")))

    def test_a_long_answer_that_its_target_breaks_off_ends_by_a_reset(self) -> None:
        def script(request: Received, sock: socket.socket) -> bool:
            sock.sendall(answer(request, LONG_BODY)[:-1])
            return True

        self.serve(script)
        status, _, orderly = self.read(self.ask("/n/x"))
        self.assertEqual((b"200", False), (status, orderly))

    def test_a_stream_that_the_router_ends_ends_by_a_reset(self) -> None:
        def script(request: Received, sock: socket.socket) -> None:
            sock.sendall(stream_head(request) + chunk(EVENTS))
            hang(request, sock)

        self.serve(script)
        sock = self.ask("/s/x")
        head = b""
        while EVENTS not in head:
            head += sock.recv(65536)
        self.router.stop()
        self.assertEqual((b"", b"", False), self.read(sock))

    def test_whole_answers_end_in_an_orderly_way(self) -> None:
        def script(request: Received, sock: socket.socket) -> bool:
            if "/s/" in request.line:
                sock.sendall(stream_head(request) + chunk(EVENTS) + b"0\r\n\r\n")
            elif "/n/close" in request.line:
                sock.sendall(answer_head(request) + LONG_BODY)
                return True
            else:
                sock.sendall(answer(request, LONG_BODY))
            return False

        self.serve(script)
        for path, body in (("/s/x", EVENTS), ("/n/x", LONG_BODY), ("/n/close", LONG_BODY)):
            with self.subTest(path=path):
                self.assertEqual((b"200", body, True), self.read(self.ask(path)))


if __name__ == "__main__":
    unittest.main()
