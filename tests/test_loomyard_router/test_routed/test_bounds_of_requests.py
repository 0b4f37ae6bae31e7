"""Tests of the bounds on what is read of a request."""

from __future__ import annotations

import unittest
from contextlib import suppress
from typing import TYPE_CHECKING

import gevent

from loomyard_router.routes.caller_limits import CallerLimits
from loomyard_router.routes.kind import RouteKind
from test_loomyard_router.test_routed.routed_case import RoutedCase, request_bytes, route
from test_loomyard_router.test_routed.scripted_target import chunk, plain_script

if TYPE_CHECKING:
    import socket

HEAD_BYTES, BODY_BYTES = 8192, 100_000
# More than what is dropped of a refused request.
MORE_BYTES = 64 << 20
CHUNKED = {"Transfer-Encoding": "chunked"}


class BoundsOfRequestsTest(RoutedCase):
    def setUp(self) -> None:
        super().setUp()
        self.one = self.target("t1", plain_script)
        limits = CallerLimits(head_bytes=HEAD_BYTES, body_bytes=BODY_BYTES)
        self.publish(route(kind=RouteKind.IDEMPOTENT), limits=limits)

    def send_on(self, sock: socket.socket, first: bytes, more: bytes) -> tuple[bytes, int]:
        """Send until the connection ends or ``MORE_BYTES`` are gone; return answer and size."""
        received: list[bytes] = []

        def read() -> None:
            with suppress(ConnectionError):
                while block := sock.recv(65536):
                    received.append(block)

        reader = gevent.spawn(read)
        sent = 0
        with suppress(ConnectionError):
            sock.sendall(first)
            while sent < MORE_BYTES and not reader.ready():
                sock.sendall(more)
                sent += len(more)
        with gevent.Timeout(5.0, AssertionError("the connection is still open")):
            reader.get()
        return b"".join(received), sent

    # Guards against a part of a request that is read without end.
    def test_a_request_without_end_in_any_part_ends_its_connection_and_reaches_no_target(
        self,
    ) -> None:
        head = request_bytes("/p/x", body=b"")[:-2]
        chunked = request_bytes("/p/x", body=b"", **CHUNKED)
        unit = b"x" * 8192
        for name, first, more in (
            ("field", head + b"A: ", unit),
            ("fields", head, b"A: b\r\n" * 1000),
            ("long fields", head, b"".join(b"A%d: %b\r\n" % (n, b"v" * 500) for n in range(20))),
            ("chunk size", chunked, b"0" * 8192),
            ("chunk extension", chunked + b"5;", unit),
            ("trailers", chunked + chunk(b"hello") + b"0\r\n", b"A: b\r\n" * 1000),
            ("chunks", chunked, chunk(unit)),
        ):
            with self.subTest(name):
                received, sent = self.send_on(self.connect(), first, more)
                self.assertLess(sent, MORE_BYTES)
                self.assertNotIn(b"200 OK", received)
        self.assertEqual([], self.one.received)
        self.assertEqual(200, self.call().status)

    def test_a_head_over_the_limit_of_the_configuration_is_refused(self) -> None:
        self.assertEqual(431, self.call(X_Long="v" * HEAD_BYTES).status)
        self.assertEqual(200, self.call(X_Long="v" * (HEAD_BYTES // 2)).status)

    def test_a_body_at_the_limit_in_chunks_of_one_byte_is_read(self) -> None:
        sock = self.connect()
        body = b"x" * BODY_BYTES
        sent = request_bytes("/p/x", body=b"", **CHUNKED)
        sock.sendall(sent + b"".join(chunk(b"x") for _ in body) + b"0\r\n\r\n")
        self.assertIn(b"200 OK", sock.recv(65536))
        self.assertEqual(body, self.one.received[0].body)


if __name__ == "__main__":
    unittest.main()
