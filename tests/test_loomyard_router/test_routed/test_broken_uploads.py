"""Tests of answers that come while the upload is still being written."""

from __future__ import annotations

import http.client
import socket
import unittest
from unittest import mock

import gevent

from loomyard.errors import ResultCode
from loomyard_router.admission.ejection_tracker import EjectionTracker
from loomyard_router.crashes.crash_guard import CrashGuard
from loomyard_router.routes.kind import RouteKind
from test_loomyard_router.test_routed.early_target import (
    EarlyScript,
    EarlyTarget,
    answer_head,
    read_body,
    reset,
)
from test_loomyard_router.test_routed.routed_case import RoutedCase, request_bytes, route
from test_loomyard_router.test_routed.scripted_target import Received, chunk, event

UPLOAD = b"u" * (3 << 20)
SHORT_UPLOAD = UPLOAD[:300_000]
PART = b"a part of the body"
EVENTS = "Content-Type: text/event-stream\r\n"
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
DELAYS = (0.0, 0.02, 0.3)


class BrokenUploadsCase(RoutedCase):
    """A router, and a target that answers by a script while it has read the head alone."""

    def serve(self, script: EarlyScript) -> None:
        """Start a target in place of the one before, and routes to it."""
        number = len(self.objects)
        name = f"s{number}"
        target = EarlyTarget(f"t{number}", name, script)
        target.start()
        self.addCleanup(target.stop)
        self.announce(target.announced())
        self.publish(
            route("/n/", service=name, max_attempts=1),
            route("/s/", service=name, kind=RouteKind.STREAM, max_attempts=1),
            version=number + 1,
            services=[],
        )

    def upload(self, path: str, body: bytes) -> tuple[int, bytes] | None:
        """Send an upload; return the status and body of a whole answer, ``None`` of another."""
        sock = self.connect()
        sock.sendall(request_bytes(path, body=body))
        response = http.client.HTTPResponse(sock, method="POST")
        try:
            response.begin()
            return response.status, response.read()
        except (http.client.HTTPException, ConnectionError):
            return None
        finally:
            sock.close()


class ResetUploadsTest(BrokenUploadsCase):
    """No part of an answer passes as whole that ends with its connection before the upload."""

    def check(self, path: str, script: EarlyScript, body: bytes = UPLOAD) -> None:
        self.serve(script)
        answer = self.upload(path, body)
        self.assertIn(answer, (None, (502, b"")))

    # Guards against a reset that only the task which writes the upload is told of.
    def test_a_part_before_a_reset_is_no_answer(self) -> None:
        for status in ("200 OK", "201 Created", "404 Not Found", "500 Error"):
            for fields in ("", "Connection: close\r\n", "Transfer-Encoding: identity\r\n"):
                for delay in DELAYS:

                    def script(
                        request: Received,
                        sock: socket.socket,
                        status: str = status,
                        fields: str = fields,
                        delay: float = delay,
                    ) -> None:
                        sock.sendall(answer_head(request, status=status, fields=fields) + PART)
                        gevent.sleep(delay)
                        reset(sock)

                    with self.subTest(status=status, fields=fields, delay=delay):
                        self.check("/n/x", script)

    def test_a_head_without_a_body_before_a_reset_is_no_answer(self) -> None:
        for delay in DELAYS:

            def script(request: Received, sock: socket.socket, delay: float = delay) -> None:
                sock.sendall(answer_head(request).replace(b"HTTP/1.1", b"HTTP/1.0"))
                gevent.sleep(delay)
                reset(sock)

            with self.subTest(delay=delay):
                self.check("/n/x", script)

    def test_a_reset_before_the_end_of_the_head_is_no_answer(self) -> None:
        for size in (0, 1, 30, 60):
            for delay in DELAYS:

                def script(
                    request: Received, sock: socket.socket, size: int = size, wait: float = delay
                ) -> None:
                    sock.sendall(answer_head(request)[:size])
                    gevent.sleep(wait)
                    reset(sock)

                with self.subTest(size=size, delay=delay):
                    self.check("/n/x", script)

    def test_a_part_after_an_interim_answer_is_no_answer(self) -> None:
        for line in (b"HTTP/1.1", b"HTTP/1.0"):
            for delay in DELAYS:

                def script(
                    request: Received, sock: socket.socket, line: bytes = line, wait: float = delay
                ) -> None:
                    head = answer_head(request).replace(b"HTTP/1.1", line)
                    sock.sendall(INTERIM + head + PART)
                    gevent.sleep(wait)
                    reset(sock)

                with self.subTest(line=line, delay=delay):
                    self.check("/n/x", script)

    def test_parts_beside_an_upload_that_is_read_slowly_are_no_answer(self) -> None:
        def script(request: Received, sock: socket.socket) -> None:
            sock.sendall(answer_head(request))
            for _ in range(10):
                sock.sendall(PART)
                sock.recv(4096)
                gevent.sleep(0.02)
            reset(sock)

        self.check("/n/x", script)

    def test_a_long_part_before_a_reset_is_no_answer(self) -> None:
        def script(request: Received, sock: socket.socket) -> None:
            sock.sendall(answer_head(request) + b"x" * 300_000)
            gevent.sleep(0.1)
            reset(sock)

        self.check("/n/x", script)

    def test_events_before_a_reset_are_no_stream(self) -> None:
        for delay in DELAYS:

            def script(request: Received, sock: socket.socket, delay: float = delay) -> None:
                sock.sendall(answer_head(request, fields=EVENTS) + event(1) + event(2))
                gevent.sleep(delay)
                reset(sock)

            with self.subTest(delay=delay):
                self.check("/s/x", script)

    def test_events_before_an_end_that_the_upload_has_not_reached_are_no_stream(self) -> None:
        def script(request: Received, sock: socket.socket) -> None:
            sock.sendall(answer_head(request, fields=EVENTS) + event(1) + event(2))
            sock.shutdown(socket.SHUT_WR)
            gevent.sleep(0.1)

        for body in (UPLOAD, SHORT_UPLOAD):
            with self.subTest(size=len(body)):
                self.check("/s/x", script, body)

    # Guards against an end that says nothing of the upload, which the kernel may still hold.
    def test_an_end_before_the_upload_has_arrived_is_no_end_of_an_answer(self) -> None:
        for body in (UPLOAD, SHORT_UPLOAD):
            for delay in DELAYS:

                def script(request: Received, sock: socket.socket, delay: float = delay) -> None:
                    sock.sendall(answer_head(request) + PART)
                    sock.shutdown(socket.SHUT_WR)
                    gevent.sleep(delay)
                    reset(sock)

                with self.subTest(size=len(body), delay=delay):
                    self.check("/n/x", script, body)


class AfterBrokenUploadsTest(BrokenUploadsCase):
    """What a router does where one of two targets breaks off its answer to an upload."""

    def setUp(self) -> None:
        super().setUp()
        self.resumed_after: list[str] = []
        self.attempts = 0
        for name in ("t1", "t2"):
            target = EarlyTarget(name, "plain", self.answer)
            target.start()
            self.addCleanup(target.stop)
            self.announce(target.announced())

    def answer(self, request: Received, sock: socket.socket) -> None:
        """Break off the first answer; give the others in full, once the upload was read."""
        self.attempts += 1
        is_stream = "/s/" in request.line
        head = answer_head(request, fields=EVENTS if is_stream else "")
        if self.attempts == 1:
            sock.sendall(head + (event(1) if is_stream else PART))
            gevent.sleep(0.1)
            reset(sock)
            return
        read_body(request, sock)
        self.resumed_after.append(request.headers.get("last-event-id", ""))
        sock.sendall(head + (event(2) if is_stream else b"whole"))

    # Guards against a second run of what may run once, and a promise that it did not run.
    def test_a_request_that_may_run_once_is_not_sent_again(self) -> None:
        self.publish(route("/n/", max_attempts=2))
        sock = self.connect()
        sock.sendall(request_bytes("/n/x", body=UPLOAD))
        response = http.client.HTTPResponse(sock, method="POST")
        response.begin()
        self.assertEqual((502, b""), (response.status, response.read()))
        self.assertNotIn("Retry-After", response.headers)
        self.assertEqual(1, self.attempts)

    def test_a_repeatable_request_gets_the_answer_of_another_target(self) -> None:
        self.publish(route("/i/", kind=RouteKind.IDEMPOTENT, max_attempts=2))
        self.assertEqual((200, b"whole"), self.upload("/i/x", UPLOAD))
        self.assertEqual(2, self.attempts)

    def test_a_repeatable_request_is_sent_as_often_as_its_route_allows(self) -> None:
        self.publish(route("/i/", kind=RouteKind.IDEMPOTENT, max_attempts=1))
        self.assertEqual((502, b""), self.upload("/i/x", UPLOAD))
        self.assertEqual(1, self.attempts)

    def test_a_stream_is_resumed_after_its_last_event(self) -> None:
        self.publish(route("/s/", kind=RouteKind.STREAM, resumable=True, max_attempts=2))
        self.assertEqual((200, event(1) + event(2)), self.upload("/s/x", UPLOAD))
        self.assertEqual(["1"], self.resumed_after)

    # Guards against a broken answer that counts as one, or that its request's id does not find.
    def test_a_broken_answer_counts_as_a_failure(self) -> None:
        self.publish(route("/n/", max_attempts=2))
        with (
            mock.patch("loomyard_router.routed.app.emit") as ended,
            mock.patch("loomyard_router.routed.forwarder.emit") as failed,
            mock.patch.object(EjectionTracker, "record_success") as succeeded,
            mock.patch.object(CrashGuard, "record_completion") as completed,
        ):
            self.upload("/n/x", UPLOAD)
            self.until(lambda: ended.called)
        succeeded.assert_not_called()
        completed.assert_not_called()
        for line in (ended, failed):
            self.assertEqual("attempt-1", line.call_args.kwargs["request"])
            self.assertEqual(int(ResultCode.ANSWER_INCOMPLETE), line.call_args.kwargs["code"])


class SoundAnswersTest(BrokenUploadsCase):
    """Whole answers arrive, whatever becomes of the upload."""

    def check(self, path: str, script: EarlyScript, status: int, body: bytes) -> None:
        for upload in (UPLOAD, SHORT_UPLOAD):
            self.serve(script)
            with self.subTest(size=len(upload)):
                self.assertEqual((status, body), self.upload(path, upload))

    def test_an_early_answer_with_a_length_arrives(self) -> None:
        for status in ("413 Content Too Large", "200 OK"):
            for delay in DELAYS:

                def script(
                    request: Received,
                    sock: socket.socket,
                    status: str = status,
                    wait: float = delay,
                ) -> None:
                    fields = f"Content-Length: {len(PART)}\r\n"
                    sock.sendall(answer_head(request, status=status, fields=fields) + PART)
                    gevent.sleep(wait)
                    reset(sock)

                self.check("/n/x", script, int(status[:3]), PART)

    # Guards against a request that follows on the rest of an upload.
    def test_a_connection_with_an_unread_upload_carries_no_other_request(self) -> None:
        def script(request: Received, sock: socket.socket) -> None:
            fields = f"Content-Length: {len(PART)}\r\nKeep-Alive: timeout=5\r\n"
            sock.sendall(answer_head(request, fields=fields) + PART)
            gevent.sleep(1.0)

        self.serve(script)
        for number in range(3):
            with self.subTest(number=number):
                self.assertEqual((200, PART), self.upload("/n/x", UPLOAD))

    def test_an_early_answer_in_chunks_arrives(self) -> None:
        def script(request: Received, sock: socket.socket) -> None:
            fields = "Transfer-Encoding: chunked\r\n"
            sock.sendall(answer_head(request, fields=fields) + chunk(PART) + b"0\r\n\r\n")
            gevent.sleep(0.02)
            reset(sock)

        self.check("/n/x", script, 200, PART)

    def test_an_early_stream_in_chunks_arrives(self) -> None:
        def script(request: Received, sock: socket.socket) -> None:
            fields = EVENTS + "Transfer-Encoding: chunked\r\n"
            sock.sendall(answer_head(request, fields=fields))
            for number in range(3):
                sock.sendall(chunk(event(number)))
                gevent.sleep(0.02)
            sock.sendall(b"0\r\n\r\n")
            reset(sock)

        self.check("/s/x", script, 200, event(0) + event(1) + event(2))

    def test_an_answer_to_the_end_of_the_connection_arrives_after_the_upload(self) -> None:
        def script(request: Received, sock: socket.socket) -> None:
            read_body(request, sock)
            sock.sendall(answer_head(request) + PART)

        self.check("/n/x", script, 200, PART)

    def test_such_an_answer_arrives_after_an_interim_one(self) -> None:
        def script(request: Received, sock: socket.socket) -> None:
            sock.sendall(INTERIM)
            read_body(request, sock)
            sock.sendall(answer_head(request).replace(b"HTTP/1.1", b"HTTP/1.0") + PART)

        self.check("/n/x", script, 200, PART)

    def test_an_answer_that_begins_before_the_upload_and_ends_after_it_arrives(self) -> None:
        def script(request: Received, sock: socket.socket) -> None:
            sock.sendall(answer_head(request) + PART)
            read_body(request, sock)

        self.check("/n/x", script, 200, PART)


if __name__ == "__main__":
    unittest.main()
