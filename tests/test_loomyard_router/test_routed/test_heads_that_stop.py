"""Tests of targets that stop in the middle of the head of an answer."""

from __future__ import annotations

import http.client
import socket
import struct

import gevent

from loomyard_router.routes.kind import RouteKind
from test_loomyard_router.test_routed.routed_case import RoutedCase, request_bytes, route
from test_loomyard_router.test_routed.scripted_target import Received, plain_script

RESET = struct.pack("ii", 1, 0)
BODY = b"0123456789"
INTERIM = {
    "none": b"",
    "continue": b"HTTP/1.1 100 Continue\r\n\r\n",
    "hints": b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n",
    "with the id and stamp": (
        b"HTTP/1.1 102 Processing\r\nLoomyard-Attempt-Id: attempt-1\r\n"
        b"Loomyard-Server-Stamp: s\r\n\r\n"
    ),
    "with a length": b"HTTP/1.1 103 Early Hints\r\nContent-Length: 0\r\n\r\n",
    "with a body": b"HTTP/1.1 103 Early Hints\r\nContent-Length: 5\r\n\r\nhello",
    "twice": b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n",
}
FRAMINGS = {
    "length": b"Content-Length: 10\r\n",
    "chunks": b"Transfer-Encoding: chunked\r\n",
    "close": b"",
    "event stream": b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n",
}


def final_head(status: bytes, framing: bytes) -> bytes:
    return (
        b"HTTP/1.1 " + status + b"\r\nLoomyard-Attempt-Id: attempt-1\r\n"
        b"Loomyard-Server-Stamp: s\r\n" + framing + b"\r\n"
    )


class HeadsThatStopTest(RoutedCase):
    """No answer reaches a caller whose head the target did not complete."""

    def setUp(self) -> None:
        super().setUp()
        self.answer = b""
        self.reset = False
        self.target_ = self.target("t1", self.stop_midway)
        self.publish(
            route("/n/"),
            route("/i/", kind=RouteKind.IDEMPOTENT),
            route("/s/", kind=RouteKind.STREAM),
        )

    def stop_midway(self, request: Received, sock: socket.socket) -> bool | None:
        if request.headers.get("whole"):
            return plain_script(request, sock)
        sock.sendall(self.answer)
        if self.reset:
            gevent.sleep(0.001)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        return True

    def check(self, path: str, sock: socket.socket | None = None) -> None:
        sock = sock or self.connect()
        sock.sendall(request_bytes(path))
        response = http.client.HTTPResponse(sock, method="POST")
        response.begin()
        self.assertEqual(502, response.status)
        self.assertEqual("close", response.headers["Connection"])
        self.assertEqual(b"", response.read())

    # Guards against an answer that ends within its head and looks like a whole one.
    def test_a_head_that_stops_is_no_answer(self) -> None:
        number = 0
        for kind, interim in INTERIM.items():
            for status in (b"200 OK", b"404 Not Found"):
                for name, framing in FRAMINGS.items():
                    head = final_head(status, framing)
                    for size in range(1, len(head) - 1, 7):
                        number += 1
                        self.answer = interim + head[:size]
                        self.reset = number % 3 == 0
                        with self.subTest(interim=kind, status=status, framing=name, size=size):
                            self.check(("/n/x", "/i/x", "/s/x")[number % 3])

    def test_a_head_that_stops_on_a_kept_connection_is_no_answer(self) -> None:
        for kind, interim in INTERIM.items():
            head = final_head(b"200 OK", FRAMINGS["length"])
            for size in range(1, len(head) - 1, 11):
                self.assertEqual(200, self.call("/n/x", Whole="1").status)
                self.answer = interim + head[:size]
                with self.subTest(interim=kind, size=size):
                    self.check("/n/x")

    def test_a_whole_head_after_interim_ones_is_an_answer(self) -> None:
        for kind, interim in INTERIM.items():
            if kind == "with a body":
                continue
            self.answer = interim + final_head(b"200 OK", FRAMINGS["length"]) + BODY
            with self.subTest(interim=kind):
                response = self.call("/n/x")
                self.assertEqual((200, BODY), (response.status, response.data))
