"""Tests of a router program whose target breaks off its answers to uploads."""

from __future__ import annotations

import http.client
import signal
import socket
import unittest

import gevent

from loomyard_standins.programs import documents
from loomyard_standins.programs.soak_protocol import API_KEY, ATTEMPT_ID_HEADER, HOST
from test_loomyard_router.test_routed.early_target import (
    EarlyTarget,
    answer_head,
    read_body,
    reset,
)
from test_loomyard_router.test_routed.scripted_target import Received, event
from test_loomyard_standins.test_programs.program_case import ProgramCase

UPLOAD = b"u" * (3 << 20)
SHORT_UPLOAD = UPLOAD[:300_000]
PART = b"part"
EVENTS = "Content-Type: text/event-stream\r\n"
LENGTH = f"Content-Length: {len(PART)}\r\n"
CHUNKED = "Transfer-Encoding: chunked\r\n"
RESET, END = "reset", "end"
# Path, status, fields and body of an answer, how its connection ends, and the upload.
BROKEN = (
    ("/n/", "200 OK", "", PART, RESET, UPLOAD),
    ("/n/", "404 Not Found", "", PART, RESET, UPLOAD),
    ("/n/", "200 OK", "", b"", RESET, UPLOAD),
    ("/s/", "200 OK", EVENTS, event(1), RESET, UPLOAD),
    ("/n/", "200 OK", "", PART, END, UPLOAD),
    ("/n/", "200 OK", "", PART, END, SHORT_UPLOAD),
)
SOUND = (
    ("/n/", "413 Content Too Large", LENGTH, PART, RESET, UPLOAD),
    ("/n/", "200 OK", LENGTH, PART, RESET, UPLOAD),
    ("/n/", "200 OK", CHUNKED, b"4\r\npart\r\n0\r\n\r\n", RESET, UPLOAD),
)


class BrokenAnswersTest(ProgramCase):
    def setUp(self) -> None:
        super().setUp()
        self.requests = 0
        self.script = self.answer_whole
        target = EarlyTarget("t1", "plain", lambda request, sock: self.script(request, sock))
        target.start(self.host)
        self.addCleanup(target.stop)
        kinds = {"/n/": "non_idempotent", "/s/": "streaming"}
        self.publish(
            [
                {"name": kind, "path_prefix": path, "route_kind": kind, "service": "plain"}
                | {"resumable": False, "max_attempts": 1}
                for path, kind in kinds.items()
            ],
            [{"name": "plain", "max_conns": 500, "health_path": "/health"}],
        )
        self.announce("t1", "plain", target.port)
        self.router_host = self.find_host(1)
        self.router = self.start_router(self.router_host, [self.router_host])
        with gevent.Timeout(30.0):
            while self.upload("/n/", PART) != (200, PART):
                gevent.sleep(0.1)

    def answer_whole(self, request: Received, sock: socket.socket) -> None:
        """Answer to the end of the connection, once the upload was read."""
        read_body(request, sock)
        sock.sendall(answer_head(request) + PART)

    def answer_early(self, status: str, fields: str, body: bytes, end: str) -> None:
        """Let the target answer before it reads the upload."""

        def script(request: Received, sock: socket.socket) -> None:
            sock.sendall(answer_head(request, status=status, fields=fields) + body)
            if end == END:
                sock.shutdown(socket.SHUT_WR)
            gevent.sleep(0.1)
            reset(sock)

        self.script = script

    def send(self, path: str, body: bytes, version: str = "1.1") -> socket.socket:
        """Send a request on a connection of its own."""
        self.requests += 1
        sock = socket.create_connection((self.router_host, documents.FRONT_PORT), timeout=10.0)
        self.addCleanup(sock.close)
        head = (
            f"POST {path}x HTTP/{version}\r\nHost: {HOST}\r\n{ATTEMPT_ID_HEADER}: a{self.requests}"
            f"\r\nLoomyard-Deadline-Ms: 6000\r\nContent-Length: {len(body)}\r\n"
            f"Authorization: Bearer {API_KEY}\r\n\r\n"
        )
        sock.sendall(head.encode() + body)
        return sock

    def upload(self, path: str, body: bytes) -> tuple[int, bytes] | None:
        """Send an upload; return the status and body of a whole answer, ``None`` of another."""
        try:
            sock = self.send(path, body)
            response = http.client.HTTPResponse(sock, method="POST")
            response.begin()
            return response.status, response.read()
        except (http.client.HTTPException, ConnectionError):
            return None

    # Guards against a reset that only the task which writes the upload is told of.
    def test_only_whole_answers_to_uploads_reach_callers(self) -> None:
        for path, status, fields, body, end, upload in BROKEN:
            self.answer_early(status, fields, body, end)
            with self.subTest(path=path, status=status, body=body, end=end, size=len(upload)):
                self.assertIn(self.upload(path, upload), (None, (502, b"")))
        for path, status, fields, body, end, upload in SOUND:
            self.answer_early(status, fields, body, end)
            with self.subTest(status=status, fields=fields):
                self.assertEqual((int(status[:3]), PART), self.upload(path, upload))
        self.script = self.answer_whole
        self.assertEqual((200, PART), self.upload("/n/", UPLOAD))

    # Guards against a part that looks whole where nothing of the router is left to end it.
    def test_a_caller_of_http_1_0_is_reset_as_the_router_is_killed(self) -> None:
        def script(request: Received, sock: socket.socket) -> None:
            read_body(request, sock)
            sock.sendall(answer_head(request, fields=EVENTS) + event(1))
            gevent.sleep(5.0)

        self.script = script
        sock = self.send("/s/", PART, version="1.0")
        data = b""
        while event(1) not in data:
            data += sock.recv(65536)
        self.router.signal(signal.SIGKILL)
        with self.assertRaises(ConnectionResetError):
            sock.recv(65536)


if __name__ == "__main__":
    unittest.main()
