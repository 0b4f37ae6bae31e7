"""Tests of the bounds on what is read of answers that are no answers."""

from __future__ import annotations

import time
import unittest
from contextlib import suppress
from typing import TYPE_CHECKING

import gevent
from gevent.server import StreamServer
from geventhttpclient._parser import HTTPParseError

from loomyard.clock import SystemClock
from loomyard.errors import ResultCode
from loomyard.util.answer_bounds import MAX_FIELDS, MAX_FRAMING_BYTES, MAX_INTERIM_ANSWERS
from loomyard_router.feeds.store_era import StoreEra
from loomyard_router.platform.store_client import StoreClient
from loomyard_router.relays.event_framing import MAX_EVENT_LENGTH, EventFraming
from loomyard_router.routed.answer_parser import AnswerParser
from loomyard_router.routes.kind import RouteKind
from test_loomyard_router.test_routed.routed_case import RoutedCase, route
from test_loomyard_router.test_routed.scripted_target import (
    Received,
    answer,
    event,
    plain_script,
    stream_head,
)

if TYPE_CHECKING:
    import socket

OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"


class ParserTest(unittest.TestCase):
    # Guards against a part of an answer that is read and kept without end.
    def test_each_part_that_is_no_body_is_bounded(self) -> None:
        block = b"x" * 1000
        for first, more in (
            (b"HTTP/1.1 200 ", block),
            (OK + b"A", block),
            (OK + b"A: ", block),
            (OK, b"A: b\r\n"),
            (b"HTTP/1.1 103 E\r\n", b"A: b\r\n"),
            (b"", b"HTTP/1.1 103 E\r\n\r\n"),
            (CHUNKED, b"0" * 1000),
            (CHUNKED + b"5;", block),
            (CHUNKED + b"0\r\n", b"A: b\r\n"),
            (CHUNKED + b"0\r\nA: ", block),
        ):
            with self.subTest(first=first):
                parser = AnswerParser("POST")
                size = 0
                with self.assertRaises(HTTPParseError):
                    parser.feed(first)
                    while size <= 2 * MAX_FRAMING_BYTES:
                        parser.feed(more)
                        size += len(more)
                self.assertLessEqual(size, MAX_FRAMING_BYTES + len(more))

    # Guards against bounds that cut off an answer.
    def test_what_is_an_answer_is_read_to_its_end_however_it_is_framed(self) -> None:
        fields = b"".join(b"A%d: b\r\n" % number for number in range(MAX_FIELDS // 2))
        interim = b"HTTP/1.1 103 Early Hints\r\n\r\n" * MAX_INTERIM_ANSWERS
        body = b"x" * 300_000
        chunks = b"".join(b"1;e=1\r\nx\r\n" for _ in body)
        for sent in (
            OK + fields + b"Content-Length: 300000\r\n\r\n" + body,
            interim + OK + b"Content-Length: 300000\r\n\r\n" + body,
            CHUNKED + chunks + b"0\r\n" + fields + b"\r\n",
            OK + b"A: " + b"v" * 60_000 + b"\r\nContent-Length: 300000\r\n\r\n" + body,
        ):
            parser = AnswerParser("POST")
            read = b""
            for at in range(0, len(sent), 4096):
                parser.feed(sent[at : at + 4096])
                read += parser.read_body()
            self.assertEqual((body, True, False), (read, parser.ended, parser.excess))

    def test_an_event_in_many_parts_is_split_in_linear_time(self) -> None:
        seconds = []
        for size in (MAX_EVENT_LENGTH // 8, MAX_EVENT_LENGTH // 2):
            framing = EventFraming()
            began = time.perf_counter()
            for _ in range(size // 64):
                self.assertEqual([], framing.feed(b"x" * 64))
            seconds.append(time.perf_counter() - began)
            self.assertEqual(1, len(framing.feed(b"\n\n") or []))
        self.assertLess(seconds[1], 16 * seconds[0])


class BoundsTest(RoutedCase):
    body_bytes = 1 << 20

    # Guards against a refusal whose body keeps its request from another target.
    def test_the_body_of_a_refusal_is_not_waited_for(self) -> None:
        def refuse(_: Received, sock: socket.socket) -> None:
            sock.sendall(b"HTTP/1.1 503 Full\r\nLoomyard-Not-Executed: 1\r\n\r\n")
            while True:
                sock.sendall(b"x")
                gevent.sleep(0.02)

        self.target("t1", refuse)
        self.publish(route(max_attempts=3))
        began = time.monotonic()
        self.assertEqual(503, self.call().status)
        self.assertLess(time.monotonic() - began, 2.0)
        self.target("t2", plain_script)
        for number in range(4):
            self.assertEqual(200, self.call(Loomyard_Attempt_Id=f"a{number}").status)

    # Guards against events that take the memory of a router, many at a time.
    def test_events_share_the_memory_that_there_is(self) -> None:
        def stream(request: Received, sock: socket.socket) -> bool:
            head = stream_head(request).replace(b"Transfer-Encoding: chunked\r\n", b"")
            sock.sendall(head + event(1) + b"id: 2\ndata: " + b"x" * 400_000)
            gevent.sleep(0.3)
            return True

        target = self.target("t1", stream, "engine")
        self.announce(target.announced(slots=64))
        self.publish(route(service="engine", kind=RouteKind.STREAM))
        tasks = [gevent.spawn(self.cut, "/p/x", Loomyard_Attempt_Id=f"a{n}") for n in range(12)]
        gevent.joinall(tasks, raise_error=True)
        self.assertLessEqual(self.router.body_budget.peak_bytes, self.body_bytes)
        self.assertGreater(self.router.body_budget.refused, 0)
        self.until(lambda: self.router.in_flight == 0)
        self.assertEqual(0, self.router.body_budget.held_bytes)

    # Guards against a kept connection on which bytes pile up that belong to no answer.
    def test_an_idle_connection_on_which_bytes_arrive_is_closed(self) -> None:
        def late(request: Received, sock: socket.socket) -> None:
            sock.sendall(answer(request))
            gevent.sleep(0.05)
            sock.sendall(b"HTTP/1.1 200 OK\r\n")
            with suppress(ConnectionError):
                sock.recv(1)
            closed.append(request.attempt_id)

        closed: list[str] = []
        self.target("t1", late)
        self.publish(route())
        self.assertEqual(b"whole", self.call().data)
        self.until(lambda: closed)


class StoreTest(unittest.TestCase):
    # Guards against a store whose answer has no end: its call would never time out.
    def test_an_answer_of_the_store_without_end_fails_in_time(self) -> None:
        for first, more in (
            (OK, b"A: b\r\n" * 1000),
            (OK + b"\r\n", b"x" * 65536),
            (CHUNKED + b"5;", b"x" * 65536),
            (b"", b"HTTP/1.1 103 E\r\n\r\n" * 1000),
        ):
            with self.subTest(first=first):

                def serve(
                    sock: socket.socket, _: object, first: bytes = first, more: bytes = more
                ) -> None:
                    sock.recv(65536)
                    with suppress(ConnectionError):
                        sock.sendall(first)
                        while True:
                            sock.sendall(more)

                server = StreamServer(("127.0.0.1", 0), serve)
                server.start()
                self.addCleanup(server.stop, 0)
                clock = SystemClock()
                client = StoreClient(f"127.0.0.1:{server.server_port}", clock, StoreEra())
                outcome = client.get("/log-read", {}, clock.now() + 1.0)
                self.assertIs(ResultCode.LOG_UNAVAILABLE, outcome.unwrap_err().code)


if __name__ == "__main__":
    unittest.main()
