"""Tests of what a router does after an answer that broke off while the upload was written."""

from __future__ import annotations

import http.client
import unittest
from typing import TYPE_CHECKING
from unittest import mock

import gevent

from loomyard.errors import ResultCode
from loomyard_router.admission.ejection_tracker import EjectionTracker
from loomyard_router.crashes.crash_guard import CrashGuard
from loomyard_router.routes.kind import RouteKind
from test_loomyard_router.test_routed.broken_uploads_case import (
    EVENTS,
    PART,
    UPLOAD,
    BrokenUploadsCase,
)
from test_loomyard_router.test_routed.early_target import EarlyTarget, answer_head, read_body, reset
from test_loomyard_router.test_routed.routed_case import request_bytes, route
from test_loomyard_router.test_routed.scripted_target import Received, event

if TYPE_CHECKING:
    import socket


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


if __name__ == "__main__":
    unittest.main()
