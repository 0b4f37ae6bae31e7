"""Tests of answers that their callers do not read.

Without buffering, 60 callers that read nothing of long streams hold all slots of an engine until it
cuts them off after 4 to 5 s; only 3.6 % of the short streams of others are served meanwhile.
"""

from __future__ import annotations

import http.client
import random
import socket
import unittest
from typing import TYPE_CHECKING

import gevent

from loomyard_router.requests.whole_answers import AnswerBrokenError
from loomyard_router.routed.body_budget import BodyBudget
from loomyard_router.routed.unread_answers import (
    CHECK_SECONDS,
    MEMORY_WAIT_SECONDS,
    UNREAD_SECONDS,
    BufferedAnswer,
    UnreadAnswers,
)
from loomyard_standins.fake_clock import FakeClock
from test_loomyard_router.test_routed.routed_case import WAIT, RoutedCase, request_bytes, route
from test_loomyard_router.test_routed.scripted_target import Received, chunk, stream_head

if TYPE_CHECKING:
    from collections.abc import Generator

EVENTS = [b"event-%d" % number for number in range(5)]
STREAMS = 60
# Together more than the socket buffers of a connection on loopback hold.
LARGE_EVENTS = 200
LARGE_EVENT = 1 << 16


class UnreadAnswersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock()
        self.ended: list[str] = []
        self.read = 0
        self.make(1 << 20)

    def make(self, budget: int) -> None:
        self.budget = BodyBudget(budget, random.Random(1))
        self.unread = UnreadAnswers(self.clock, self.budget)

    def source(self, broken: bool = False) -> Generator[bytes, None, None]:
        for block in EVENTS:
            self.read += 1
            yield block
        if broken:
            raise AnswerBrokenError("the target ended")

    def answer(self, **options: bool) -> Generator[bytes, None, None]:
        return BufferedAnswer(
            self.source(**options),
            request_id="r-1",
            account="a",
            unread=self.unread,
            ended=self.ended.append,
        ).blocks()

    def pass_time(self, seconds: float) -> None:
        until = self.clock.now() + seconds
        while self.clock.now() < until:
            self.clock.advance(CHECK_SECONDS)
            for _ in range(3):
                gevent.sleep(0)

    def test_a_caller_that_reads_gets_blocks_as_they_arrive(self) -> None:
        answer = self.answer()
        self.assertEqual(EVENTS[0], next(answer))
        self.assertEqual(1, self.read)
        self.assertEqual(EVENTS[1:], list(answer))
        self.pass_time(2 * UNREAD_SECONDS)
        self.assertEqual((0, 0), (self.unread.buffered, self.budget.peak_bytes))

    def test_unread_answers_free_the_slots_at_their_targets(self) -> None:
        answers = [self.answer() for _ in range(STREAMS)]
        for answer in answers:
            next(answer)
        self.pass_time(UNREAD_SECONDS + CHECK_SECONDS)
        self.assertEqual([""] * STREAMS, self.ended)
        self.assertEqual(STREAMS, self.unread.buffered)

    def test_a_caller_that_reads_again_gets_the_whole_answer(self) -> None:
        answer = self.answer()
        got = [next(answer)]
        self.pass_time(2 * UNREAD_SECONDS)
        self.assertEqual(EVENTS, got + list(answer))
        self.assertEqual(0, self.budget.held_bytes)

    def test_a_buffered_answer_that_its_target_breaks_off_does_not_look_complete(self) -> None:
        answer = self.answer(broken=True)
        got = [next(answer)]
        self.pass_time(2 * UNREAD_SECONDS)
        with self.assertRaises(AnswerBrokenError):
            for block in answer:
                got.append(block)
        self.assertEqual(EVENTS, got)

    def test_without_memory_it_is_aborted_and_does_not_look_complete(self) -> None:
        self.make(len(EVENTS[0]) * 2)
        answer = self.answer()
        next(answer)
        self.pass_time(UNREAD_SECONDS + CHECK_SECONDS)
        self.assertEqual([], self.ended)
        self.pass_time(MEMORY_WAIT_SECONDS + CHECK_SECONDS)
        self.assertEqual(1, self.unread.aborted)
        self.assertIn("no memory is left", self.ended[0])
        with self.assertRaises(AnswerBrokenError):
            list(answer)
        self.assertEqual(0, self.budget.held_bytes)

    def test_a_caller_that_disconnects_releases_the_memory(self) -> None:
        answer = self.answer()
        next(answer)
        self.pass_time(2 * UNREAD_SECONDS)
        self.assertGreater(self.budget.held_bytes, 0)
        answer.close()
        self.assertEqual(0, self.budget.held_bytes)


class UnreadOverSocketsTest(RoutedCase):
    """The same over sockets, with a caller whose receive buffer is full."""

    def send_large_stream(self, request: Received, sock: socket.socket) -> None:
        sock.sendall(stream_head(request))
        for number in range(LARGE_EVENTS):
            data = b"id: %d\ndata: %b\n\n" % (number, b"x" * LARGE_EVENT)
            sock.sendall(chunk(data))
        sock.sendall(chunk(b""))
        self.sent_all = True

    def test_the_target_finishes_before_the_caller_reads_and_the_answer_is_complete(self) -> None:
        self.sent_all = False
        self.target("t-1", self.send_large_stream)
        self.publish(route())
        sock = socket.socket()
        self.addCleanup(sock.close)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.settimeout(WAIT)
        sock.connect(("127.0.0.1", self.router.port))
        sock.sendall(request_bytes("/p/x"))
        self.until(lambda: self.sent_all)
        self.assertEqual(1, self.router.unread_answers.buffered)
        response = http.client.HTTPResponse(sock, method="POST")
        response.begin()
        self.assertEqual(LARGE_EVENTS, response.read().count(b"id: "))


if __name__ == "__main__":
    unittest.main()
