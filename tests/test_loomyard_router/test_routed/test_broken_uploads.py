"""Tests of answers that come while the upload is still being written."""

from __future__ import annotations

import socket
import unittest

import gevent

from test_loomyard_router.test_routed.broken_uploads_case import (
    DELAYS,
    EVENTS,
    INTERIM,
    PART,
    SHORT_UPLOAD,
    UPLOAD,
    BrokenUploadsCase,
)
from test_loomyard_router.test_routed.early_target import EarlyScript, answer_head, read_body, reset
from test_loomyard_router.test_routed.scripted_target import Received, chunk, event


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
