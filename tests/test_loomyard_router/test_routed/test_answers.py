"""Tests of the relay of answers and streams to callers."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING
from unittest import mock

import gevent

from loomyard.errors import ResultCode
from loomyard_router.routes.kind import RouteKind
from test_loomyard_router.test_routed.routed_case import RoutedCase, route
from test_loomyard_router.test_routed.scripted_target import (
    Received,
    answer,
    chunk,
    event,
    stream_head,
)

if TYPE_CHECKING:
    import socket

REPEATABLE = {"kind": RouteKind.IDEMPOTENT}
RESUMABLE = {"kind": RouteKind.STREAM, "resumable": True}


class TestAnswers(RoutedCase):
    def test_an_answer_to_another_attempt_is_not_relayed(self) -> None:
        self.target("t1", lambda r, sock: sock.sendall(answer(r, echo="another")))
        self.publish(route())
        response = self.call()
        self.assertEqual((502, b""), (response.status, response.data))

    def test_a_success_without_the_stamp_of_a_target_is_not_relayed(self) -> None:
        def unmarked(request: Received, sock: socket.socket) -> None:
            whole = answer(request).replace(b"Loomyard-Server-Stamp", b"X-Nothing")
            sock.sendall(whole)

        self.target("t1", unmarked)
        self.publish(route())
        self.assertEqual(502, self.call().status)

    def test_a_connection_with_bytes_after_an_answer_is_not_reused(self) -> None:
        target = self.target("t1", lambda r, sock: sock.sendall(answer(r) + answer(r, b"again")))
        self.publish(route(**REPEATABLE))
        for number in range(3):
            response = self.call(Loomyard_Attempt_Id=f"a{number}")
            self.assertEqual(b"whole", response.data)
        self.assertEqual(3, target.connections)

    def test_a_late_second_answer_is_not_taken_for_the_next_answer(self) -> None:
        def twice(request: Received, sock: socket.socket) -> None:
            sock.sendall(answer(request, request.attempt_id.encode()))
            gevent.sleep(0.02)
            sock.sendall(answer(request, request.attempt_id.encode()))

        self.target("t1", twice)
        self.publish(route(**REPEATABLE))
        for number in range(3):
            response = self.call(Loomyard_Attempt_Id=f"a{number}")
            self.assertEqual(f"a{number}".encode(), response.data)
            gevent.sleep(0.05)

    def test_a_short_answer_does_not_look_complete(self) -> None:
        def cut(request: Received, sock: socket.socket) -> bool:
            sock.sendall(answer(request)[:-2])
            return True

        self.target("t1", cut)
        self.publish(route())
        self.assertEqual((502, b""), (self.call().status, self.call().data))

    def test_bytes_that_are_not_http_give_502(self) -> None:
        def spoil(request: Received, sock: socket.socket) -> bool:
            sock.sendall(b"\x00\x01 nonsense\r\n\r\n")
            return True

        self.target("t1", spoil)
        self.publish(route())
        self.assertEqual(502, self.call().status)

    def test_an_answer_without_a_length_ends_with_its_connection(self) -> None:
        def unframed(request: Received, sock: socket.socket) -> bool:
            sock.sendall(answer(request).replace(b"Content-Length: 5\r\n", b""))
            return True

        self.target("t1", unframed)
        self.publish(route())
        self.assertEqual(b"whole", self.call().data)

    def test_an_answer_sent_before_a_long_body_was_read_is_relayed(self) -> None:
        def early(request: Received, sock: socket.socket) -> None:
            sock.sendall(answer(request, b"no", status="400 Bad Request"))

        target = self.target("t1", early)
        self.publish(route(**REPEATABLE))
        response = self.call(body=b"x" * 200_000)
        self.assertEqual((400, b"no"), (response.status, response.data))
        self.assertEqual(200_000, len(target.received[0].body))


class TestStreams(RoutedCase):
    def test_events_split_over_chunks_are_relayed_complete(self) -> None:
        def stream(request: Received, sock: socket.socket) -> None:
            sock.sendall(stream_head(request))
            for number in range(3):
                data = event(number)
                sock.sendall(chunk(data[:7]))
                sock.sendall(chunk(data[7:]))
            sock.sendall(b"0\r\n\r\n")

        self.target("t1", stream, "engine")
        self.publish(route(service="engine", kind=RouteKind.STREAM))
        self.assertEqual(event(0) + event(1) + event(2), self.call().data)

    def test_a_broken_stream_is_resumed_at_another_target_under_the_first_head(self) -> None:
        def stream(request: Received, sock: socket.socket) -> bool:
            after = request.headers.get("last-event-id")
            first = 0 if after is None else int(after) + 1
            sock.sendall(stream_head(request, f"stamp-{first}"))
            if after is None:
                sock.sendall(chunk(event(0) + event(1) + event(2)[:6]))
                return True
            sock.sendall(chunk(event(2) + event(3)) + b"0\r\n\r\n")
            return False

        targets = [self.target(f"t{n}", stream, "engine") for n in range(2)]
        self.publish(route(service="engine", **RESUMABLE))
        response = self.call()
        self.assertEqual(event(0) + event(1) + event(2) + event(3), response.data)
        self.assertEqual("stamp-0", response.headers["Loomyard-Server-Stamp"])
        self.assertEqual([1, 1], [len(target.received) for target in targets])

    def test_lines_tell_the_software_that_began_a_stream_and_that_goes_on(self) -> None:
        def stream(request: Received, sock: socket.socket) -> bool:
            resumed = "last-event-id" in request.headers
            sock.sendall(stream_head(request) + chunk(event(1 if resumed else 0)))
            sock.sendall(b"0\r\n\r\n" if resumed else chunk(event(1)[:6]))
            return not resumed

        targets = [self.target(f"t{n}", stream, "engine") for n in range(2)]
        for target in targets:
            self.announce(target.announced(software_version="v1"))
        self.publish(route(service="engine", **RESUMABLE))
        with (
            mock.patch("loomyard_router.routed.answer_relay.emit") as resumed,
            mock.patch("loomyard_router.routed.app.emit") as ended,
        ):
            self.call()
            self.assertEqual("v1", resumed.call_args.kwargs["began"])
            self.assertEqual("v1", resumed.call_args.kwargs["software"])
            self.assertEqual("v1", ended.call_args.kwargs["software"])
            self.call(Resumes="attempt-0", Last_Event_Id="7")
            self.assertEqual("attempt-0", ended.call_args.kwargs["resumes"])
            self.assertEqual("7", ended.call_args.kwargs["after"])

    def test_a_broken_stream_that_may_not_resume_does_not_look_complete(self) -> None:
        def stream(request: Received, sock: socket.socket) -> bool:
            sock.sendall(stream_head(request) + chunk(event(0) + event(1)[:6]))
            return True

        self.target("t1", stream, "engine")
        self.target("t2", stream, "engine")
        self.publish(route(service="engine", kind=RouteKind.STREAM))
        with mock.patch("loomyard_router.routed.app.emit") as emit:
            data = self.cut("/p/x")
            self.until(lambda: emit.called)
        self.assertEqual(int(ResultCode.ANSWER_INCOMPLETE), emit.call_args.kwargs["code"])
        self.assertIn(event(0), data)
        self.assertNotIn(b"id: 1", data)
        self.assertFalse(data.endswith(b"0\r\n\r\n"))

    def test_a_stream_that_ends_within_an_event_does_not_look_complete(self) -> None:
        def stream(request: Received, sock: socket.socket) -> None:
            sock.sendall(stream_head(request) + chunk(event(0) + event(1)[:6]) + b"0\r\n\r\n")

        self.target("t1", stream, "engine")
        self.publish(route(service="engine", kind=RouteKind.STREAM))
        self.assertFalse(self.cut("/p/x").endswith(b"0\r\n\r\n"))

    def test_a_caller_resumes_after_the_event_that_it_names(self) -> None:
        def stream(request: Received, sock: socket.socket) -> None:
            first = int(request.headers["last-event-id"]) + 1
            sock.sendall(stream_head(request) + chunk(event(first)) + b"0\r\n\r\n")

        self.target("t1", stream, "engine")
        self.publish(route(service="engine", **RESUMABLE))
        self.assertEqual(event(8), self.call(Last_Event_Id="7").data)

    def test_a_resumed_stream_keeps_the_lines_before_the_ids_of_its_events(self) -> None:
        # Guards against a first event without its data after a resumption.
        def stream(request: Received, sock: socket.socket) -> bool:
            after = request.headers.get("last-event-id")
            first = 0 if after is None else int(after) + 1
            events = [b"event: e\r\ndata: %d\r\nid: %d\r\n\r\n" % (n, n) for n in range(4)]
            sock.sendall(stream_head(request) + chunk(b"".join(events[first : first + 2])))
            if first < 2:
                sock.sendall(chunk(events[first + 2][:20]))
                return True
            sock.sendall(b"0\r\n\r\n")
            return False

        for number in range(3):
            self.target(f"t{number}", stream, "engine")
        self.publish(route(service="engine", **RESUMABLE, max_attempts=3))
        whole = b"".join(b"event: e\r\ndata: %d\r\nid: %d\r\n\r\n" % (n, n) for n in range(4))
        self.assertEqual(whole, self.call().data)

    def test_a_second_crash_in_one_stream_leaves_it_whole(self) -> None:
        # Guards against a gap or a repeat where a stream is resumed twice.
        def piece(number: int) -> bytes:
            return b"data: %d\ndata: id: 0\n: c\nid: %d\n\n" % (number, number)

        def stream(request: Received, sock: socket.socket) -> bool:
            first = int(request.headers.get("last-event-id", -1)) + 1
            sock.sendall(stream_head(request) + chunk(piece(first)))
            if first < 2:
                sock.sendall(chunk(piece(first + 1)[:-1]))
                return True
            sock.sendall(b"0\r\n\r\n")
            return False

        for number in range(4):
            self.target(f"t{number}", stream, "engine")
        self.publish(route(service="engine", **RESUMABLE, max_attempts=3))
        self.assertEqual(piece(0) + piece(1) + piece(2), self.call().data)

    def test_a_broken_stream_without_any_id_is_not_joined_to_another_run(self) -> None:
        # Guards against pieces that come twice because no id says where to resume.
        def stream(request: Received, sock: socket.socket) -> bool:
            sock.sendall(stream_head(request) + chunk(b"data: a\n\ndata: b"))
            return True

        targets = [self.target(f"t{n}", stream, "engine") for n in range(2)]
        self.publish(route(service="engine", **RESUMABLE))
        data = self.cut("/p/x")
        self.assertEqual(1, data.count(b"data: a\n\n"))
        self.assertFalse(data.endswith(b"0\r\n\r\n"))
        self.assertEqual(1, sum(len(target.received) for target in targets))

    def test_a_stream_taken_up_after_an_id_that_is_no_number_is_resumed_after_it(self) -> None:
        # Guards against a second run from the beginning where the caller named another position.
        def stream(request: Received, sock: socket.socket) -> bool:
            sock.sendall(stream_head(request))
            is_first = not any(target.received[1:] for target in targets)
            if is_first and sum(len(target.received) for target in targets) == 1:
                return True
            sock.sendall(chunk(event(8)) + b"0\r\n\r\n")
            return False

        targets = [self.target(f"t{n}", stream, "engine") for n in range(2)]
        self.publish(route(service="engine", **RESUMABLE))
        self.assertEqual(event(8), self.call(Last_Event_Id="a-7").data)
        named = [one.headers["last-event-id"] for target in targets for one in target.received]
        self.assertEqual(["a-7", "a-7"], named)


if __name__ == "__main__":
    unittest.main()
