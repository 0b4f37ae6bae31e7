"""Tests of two connections joined to one."""

from __future__ import annotations

import socket
import unittest
from typing import TYPE_CHECKING
from unittest import mock

import gevent

from loomyard.util.tcp import count_unacknowledged, set_reset_on_close
from loomyard_router.offload.splice import Splice

if TYPE_CHECKING:
    from collections.abc import Callable

SMALL_BUFFER_BYTES = 4096
LONG_ANSWER = bytes(range(256)) * 6_000


def make_pair(receive_bytes: int = 0) -> tuple[socket.socket, socket.socket]:
    """Return two ends of a TCP connection; the second one does not block."""
    listener = socket.create_server(("127.0.0.1", 0))
    near = socket.socket()
    if receive_bytes:
        near.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
    near.connect(listener.getsockname())
    far, _ = listener.accept()
    listener.close()
    near.settimeout(5.0)
    far.settimeout(0.0)
    return near, far


class SpliceCase(unittest.TestCase):
    """A splice between a caller and a router, both played by the test."""

    pause = 0.0
    router_buffer_bytes = 0

    def setUp(self) -> None:
        self.caller, caller_far = make_pair()
        self.router, router_far = make_pair(self.router_buffer_bytes)
        self.ends = 0
        for sock in (self.caller, self.router):
            self.addCleanup(sock.close)
        self.splice = Splice(caller_far, router_far, pause=lambda: self.pause, on_end=self.end)
        self.splice.start(b"before\n")
        self.addCleanup(self.splice.close)

    def end(self, _: Splice) -> None:
        self.ends += 1

    def receive(self, sock: socket.socket, size: int) -> bytes:
        data = b""
        while len(data) < size and (block := sock.recv(65536)):
            data += block
        return data


class SpliceTest(SpliceCase):
    def test_bytes_pass_in_both_directions_after_the_preamble(self) -> None:
        self.caller.sendall(b"question")
        self.assertEqual(b"before\nquestion", self.receive(self.router, 15))
        self.router.sendall(b"answer")
        self.assertEqual(b"answer", self.receive(self.caller, 6))

    def test_a_long_answer_arrives_whole_at_a_slow_caller(self) -> None:
        data = bytes(range(256)) * 40_000
        sending = gevent.spawn(self.router.sendall, data)
        gevent.sleep(0.05)
        received = self.receive(self.caller, len(data))
        sending.get(timeout=5.0)
        self.assertEqual(data, received)

    def test_a_caller_that_does_not_read_stops_the_sender(self) -> None:
        data = bytes(64 << 20)
        sending = gevent.spawn(self.router.sendall, data)
        gevent.sleep(0.3)
        self.assertFalse(sending.ready())
        sending.kill()

    def test_the_end_of_the_answer_closes_the_caller_after_its_last_byte(self) -> None:
        self.receive(self.router, 7)
        self.router.sendall(b"x" * 1_000_000)
        self.router.close()
        self.assertEqual(1_000_000, len(self.receive(self.caller, 2_000_000)))
        self.assertEqual(1, self.ends)

    def test_a_reset_of_the_answer_resets_the_caller(self) -> None:
        self.caller.sendall(b"question")
        self.receive(self.router, 15)
        set_reset_on_close(self.router, True)
        self.router.close()
        with self.assertRaises(ConnectionResetError):
            self.caller.recv(1)
        self.assertEqual(1, self.ends)

    def test_a_caller_that_closes_closes_the_other_side(self) -> None:
        self.caller.close()
        self.receive(self.router, 7)
        self.assertEqual(b"", self.router.recv(1))
        self.assertEqual(1, self.ends)

    def test_an_answer_before_the_end_of_the_request_arrives(self) -> None:
        self.receive(self.router, 7)
        self.router.sendall(b"refused")
        self.router.shutdown(socket.SHUT_RDWR)
        self.assertEqual(b"refused", self.receive(self.caller, 100))


class PausingSpliceTest(SpliceTest):
    """The same with a pause after each block of the answer."""

    pause = 0.02

    def test_blocks_that_come_close_together_are_passed_on_together(self) -> None:
        self.router.sendall(b"first")
        self.assertEqual(b"first", self.receive(self.caller, 5))
        for _ in range(10):
            self.router.sendall(b"next ")
            gevent.sleep(0.001)
        self.assertGreater(len(self.caller.recv(65536)), 5)


class BrokenSpliceTest(SpliceCase):
    """Answers that are cut off, from a router that receives little at a time."""

    router_buffer_bytes = SMALL_BUFFER_BYTES

    def until(self, condition: Callable[[], object]) -> None:
        """Wait until a condition holds."""
        with gevent.Timeout(5.0):
            while not condition():
                gevent.sleep(0.01)

    def read_to_reset(self) -> bytes:
        """Return what the caller receives until its connection is reset."""
        data = b""
        with self.assertRaises(ConnectionResetError):
            while block := self.caller.recv(65536):
                data += block
        return data

    # Guards against a reset that only the sending half is told of, as the kernel reports it once.
    def test_a_reset_in_the_middle_of_the_request_resets_the_caller(self) -> None:
        self.receive(self.router, 7)
        # Nothing waits from here on, so the splice meets all of it at once.
        self.caller.sendall(b"question")
        self.router.sendall(b"part")
        set_reset_on_close(self.router, True)
        self.router.close()
        self.assertEqual(b"part", self.read_to_reset())
        self.assertEqual(1, self.ends)

    # Guards against a reset that drops an answer which tells its end by itself.
    def test_an_answer_before_a_reset_arrives_whole_at_a_slow_caller(self) -> None:
        self.caller.sendall(b"question")
        self.receive(self.router, 15)
        self.router.sendall(LONG_ANSWER)
        # A reset drops what its sender still holds.
        self.until(lambda: not count_unacknowledged(self.router))
        set_reset_on_close(self.router, True)
        self.router.close()
        gevent.sleep(0.2)
        self.assertEqual(LONG_ANSWER, self.read_to_reset())

    def test_a_caller_that_takes_nothing_more_is_given_up(self) -> None:
        with mock.patch("loomyard_router.offload.deferred_reset.MAX_IDLE_CHECKS", 3):
            self.break_off_unread()
            self.assertEqual(0, self.ends)
            self.until(lambda: self.ends)

    def test_a_splice_that_waits_for_its_caller_is_closed_at_once(self) -> None:
        self.break_off_unread()
        self.assertEqual(0, self.ends)
        self.splice.close()
        self.assertEqual(1, self.ends)

    def break_off_unread(self) -> None:
        """Send an answer that its caller does not read, and break it off."""
        sending = gevent.spawn(self.router.sendall, bytes(64 << 20))
        gevent.sleep(0.3)
        sending.kill()
        self.splice.end()

    # Guards against a part that looks whole where its caller pauses for too long.
    def test_a_caller_that_stops_reading_is_reset(self) -> None:
        with mock.patch("loomyard_router.offload.splice.STALL_SECONDS", 0.1):
            sending = gevent.spawn(self.router.sendall, bytes(64 << 20))
            self.until(lambda: self.ends)
            sending.kill()
        self.read_to_reset()

    # Guards against an end that says nothing of the request, which the kernel may still hold.
    def test_an_end_before_the_request_has_arrived_resets_the_caller(self) -> None:
        self.caller.sendall(bytes(300_000))
        gevent.sleep(0.1)
        self.router.sendall(b"part")
        self.router.shutdown(socket.SHUT_WR)
        self.assertEqual(b"part", self.read_to_reset())

    def test_an_end_after_the_request_has_arrived_ends_in_order(self) -> None:
        self.caller.sendall(bytes(300_000))
        self.receive(self.router, 300_007)
        self.router.sendall(b"whole")
        self.router.close()
        self.assertEqual(b"whole", self.receive(self.caller, 100))
