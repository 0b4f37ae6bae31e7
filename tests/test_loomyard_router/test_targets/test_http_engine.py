"""Tests of the adapter for HTTP targets: retries, and whether a failed call may have run."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

import gevent
from gevent import socket as sockets

from loomyard.clock import SystemClock
from loomyard.errors import Executed, ResultCode
from loomyard.external.engine import TargetCall
from loomyard_router.targets.http_engine import make_http_engine
from loomyard_standins.scripted_target import ScriptedTarget, answer_bytes
from test_loomyard_router.test_routed.early_target import (
    EarlyScript,
    EarlyTarget,
    answer_head,
    read_body,
    reset,
)

if TYPE_CHECKING:
    from gevent.socket import socket

    from loomyard_standins.scripted_target import ReceivedCall
    from test_loomyard_router.test_routed.scripted_target import Received

METHODS = ("GET", "PUT", "DELETE", "POST")
PART = b"a part of the body"
# The kernel of the sender holds the short one whole.
SHORT_UPLOAD, UPLOAD = b"u" * 300_000, b"u" * (3 << 20)


class HttpEngineCase(unittest.TestCase):
    """The adapter, and a target that answers each call once."""

    def setUp(self) -> None:
        self.clock = SystemClock()
        self.engine = make_http_engine(self.clock)
        self.target = ScriptedTarget(answer_once)
        self.target.start()
        self.addCleanup(self.target.stop)

    def call(
        self,
        method: str = "POST",
        *,
        idempotent: bool = True,
        url: str = "",
        body: bytes = b"steel",
    ) -> TargetCall:
        return TargetCall(
            attempt_id="r.1",
            url=url or self.target.url,
            method=method,
            path="/x",
            body=body,
            deadline=self.clock.now() + 5.0,
            idempotent=idempotent,
        )


class HttpEngineTest(HttpEngineCase):
    def test_a_call_on_a_reused_connection_that_closes_is_not_retried(self) -> None:
        for method in METHODS:
            with self.subTest(method=method):
                self.target.script = answer_once
                self.engine.open(self.call(method)).unwrap().read()
                self.target.calls.clear()
                self.target.script = lambda call, sock: None
                fault = self.engine.open(self.call(method)).unwrap_err()
                self.assertEqual(fault.executed, Executed.UNKNOWN)
                self.assertEqual(len(self.target.calls), 1)

    def test_a_non_idempotent_call_uses_a_new_connection(self) -> None:
        for _ in range(2):
            self.engine.open(self.call(idempotent=True)).unwrap().read()
        for _ in range(2):
            self.engine.open(self.call(idempotent=False)).unwrap().read()
        self.assertEqual([call.connection for call in self.target.calls], [0, 0, 1, 2])

    def test_a_refused_connection_is_reported_as_not_executed(self) -> None:
        unused = sockets.socket()
        unused.bind(("127.0.0.1", 0))
        self.addCleanup(unused.close)
        url = f"http://127.0.0.1:{unused.getsockname()[1]}"
        fault = self.engine.open(self.call(url=url)).unwrap_err()
        self.assertEqual((fault.code, fault.executed), (ResultCode.TARGET_UNREACHABLE, Executed.NO))

    def test_invalid_and_truncated_answers_are_reported_as_unknown(self) -> None:
        answers = {
            b"no HTTP at all\r\n\r\n": ResultCode.ANSWER_INVALID,
            b"HTTP/1.1 200 OK\r\nContent-Length: ten\r\n\r\n": ResultCode.ANSWER_INVALID,
            b"HTTP/1.1 200": ResultCode.ANSWER_INVALID,
            b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf": ResultCode.ANSWER_INCOMPLETE,
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n": (
                ResultCode.ANSWER_INCOMPLETE
            ),
        }
        for data, code in answers.items():
            with self.subTest(data=data):
                self.target.script = lambda call, sock, data=data: sock.sendall(data)
                fault = self.read_fault()
                self.assertEqual((fault.code, fault.executed), (code, Executed.UNKNOWN))

    def read_fault(self):
        opened = self.engine.open(self.call())
        if opened.is_err():
            return opened.unwrap_err()
        while True:
            read = opened.unwrap().read()
            if read.is_err():
                return read.unwrap_err()
            self.assertNotEqual(read.unwrap(), b"")

    def test_a_header_that_would_split_the_request_is_refused(self) -> None:
        call = self.call()
        call.headers.append(("Accept", "x\r\nContent-Length: 0"))
        fault = self.engine.open(call).unwrap_err()
        self.assertEqual(fault.code, ResultCode.MALFORMED_REQUEST)
        self.assertEqual(self.target.calls, [])


class EarlyAnswersTest(HttpEngineCase):
    """Answers without a length, or with one, to an upload that the target has not read."""

    def upload(self, script: EarlyScript, body: bytes) -> bytes | ResultCode:
        """Return the body of a whole answer, or the code of the fault."""
        target = EarlyTarget("t", "s", script)
        target.start()
        self.addCleanup(target.stop)
        opened = self.engine.open(self.call(url=f"http://{target.announced().address}", body=body))
        if opened.is_err():
            return opened.unwrap_err().code
        blocks = []
        while True:
            read = opened.unwrap().read()
            if read.is_err():
                return read.unwrap_err().code
            if not read.unwrap():
                return b"".join(blocks)
            blocks.append(read.unwrap())

    # Guards against an end that says nothing of the upload, which the kernel may still hold.
    def test_an_end_before_the_upload_has_arrived_is_no_end_of_an_answer(self) -> None:
        def script(request: Received, sock: socket) -> None:
            sock.sendall(answer_head(request) + PART)
            sock.shutdown(sockets.SHUT_WR)
            gevent.sleep(0.1)
            reset(sock)

        self.assertIs(ResultCode.ANSWER_INCOMPLETE, self.upload(script, SHORT_UPLOAD))
        self.assertIs(ResultCode.ANSWER_LOST, self.upload(script, UPLOAD))

    def test_a_part_before_a_reset_is_no_answer(self) -> None:
        def script(request: Received, sock: socket) -> None:
            sock.sendall(answer_head(request) + PART)
            gevent.sleep(0.02)
            reset(sock)

        self.assertIs(ResultCode.ANSWER_INCOMPLETE, self.upload(script, SHORT_UPLOAD))
        self.assertIs(ResultCode.ANSWER_LOST, self.upload(script, UPLOAD))

    def test_an_early_answer_with_a_length_arrives(self) -> None:
        def script(request: Received, sock: socket) -> None:
            fields = f"Content-Length: {len(PART)}\r\n"
            sock.sendall(answer_head(request, status="413 Too Large", fields=fields) + PART)
            gevent.sleep(0.1)
            reset(sock)

        self.assertEqual(PART, self.upload(script, SHORT_UPLOAD))

    def test_an_answer_to_the_end_of_the_connection_arrives_after_the_upload(self) -> None:
        def script(request: Received, sock: socket) -> None:
            read_body(request, sock)
            sock.sendall(answer_head(request) + PART)

        for body in (b"steel", SHORT_UPLOAD, UPLOAD):
            with self.subTest(size=len(body)):
                self.assertEqual(PART, self.upload(script, body))


def answer_once(call: ReceivedCall, sock: socket) -> bool:
    sock.sendall(answer_bytes(call, b"done"))
    return True


if __name__ == "__main__":
    unittest.main()
