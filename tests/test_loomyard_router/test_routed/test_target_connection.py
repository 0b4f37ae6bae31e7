"""Tests of a connection to a target whose reset comes while an upload is being written."""

from __future__ import annotations

import socket
import unittest

import gevent

from loomyard.clock import SystemClock
from loomyard_router.routed.deadline_watch import DeadlineWatch
from loomyard_router.routed.target_connection import ExchangeBrokenError, TargetConnection
from test_loomyard_router.test_routed.early_target import RECEIVE_BUFFER_BYTES, reset

HEAD = b"POST /x HTTP/1.1\r\nContent-Length: %d\r\n\r\n"
UPLOAD = b"u" * (12 << 20)
ANSWER = b"HTTP/1.1 200 OK\r\n\r\npart"
SECONDS = 5.0


class TargetConnectionTest(unittest.TestCase):
    def setUp(self) -> None:
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        clock = SystemClock()
        near = socket.create_connection(listener.getsockname())
        self.target, _ = listener.accept()
        listener.close()
        self.addCleanup(self.target.close)
        self.connection = TargetConnection(near, clock, DeadlineWatch(clock))
        self.addCleanup(self.connection.close)
        self.deadline = clock.now() + SECONDS

    def begin_upload(self) -> None:
        """Begin an upload that the target does not read, and read the part of an answer."""
        self.connection.send(HEAD % len(UPLOAD), UPLOAD, "POST", self.deadline)
        gevent.sleep(0.05)
        self.target.sendall(ANSWER)
        self.connection.read_head(self.deadline)
        self.assertEqual(b"part", self.connection.read_block(self.deadline))

    def check(self) -> None:
        with self.assertRaises(ExchangeBrokenError):
            self.connection.read_block(self.deadline)
        self.assertFalse(self.connection.reusable)

    def test_a_reset_that_the_sending_task_is_told_of_ends_no_answer(self) -> None:
        self.begin_upload()
        reset(self.target)
        # The sending task waits for the socket, and nobody reads meanwhile.
        gevent.sleep(0.05)
        self.check()

    def test_a_reset_that_the_reading_task_is_told_of_ends_no_answer(self) -> None:
        self.begin_upload()
        # Nothing waits between the reset and the read.
        reset(self.target)
        self.check()

    def test_a_reset_that_ends_the_wait_of_both_tasks_ends_no_answer(self) -> None:
        self.begin_upload()
        gevent.spawn_later(0.05, reset, self.target)
        self.check()


if __name__ == "__main__":
    unittest.main()
