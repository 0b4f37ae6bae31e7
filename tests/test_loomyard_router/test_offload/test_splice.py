"""Tests of two connections joined to one."""

from __future__ import annotations

import socket
import unittest

import gevent

from loomyard_router.offload.splice import RESET, Splice


def make_pair() -> tuple[socket.socket, socket.socket]:
    """Return two ends of a TCP connection; the second one does not block."""
    listener = socket.create_server(("127.0.0.1", 0))
    near = socket.create_connection(listener.getsockname())
    far, _ = listener.accept()
    listener.close()
    near.settimeout(5.0)
    far.settimeout(0.0)
    return near, far


class SpliceTest(unittest.TestCase):
    pause = 0.0

    def setUp(self) -> None:
        self.caller, caller_far = make_pair()
        self.router, router_far = make_pair()
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
        self.router.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
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
