"""Tests of what a request on a route may and may not come to."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING
from unittest import mock

import gevent

from loomyard.errors import ResultCode
from loomyard_router.routes.caller_limits import CallerLimits
from loomyard_router.routes.kind import RouteKind
from test_loomyard_router.test_routed.routed_case import RoutedCase, request_bytes, route
from test_loomyard_router.test_routed.scripted_target import (
    Received,
    answer,
    chunk,
    event,
    hang,
    plain_script,
    refusal,
    stream_head,
)

if TYPE_CHECKING:
    import socket

REPEATABLE = {"kind": RouteKind.IDEMPOTENT}
RESUMABLE = {"kind": RouteKind.STREAM, "resumable": True}


class TestRequests(RoutedCase):
    def test_what_a_target_gets(self) -> None:
        target = self.target("t1", plain_script)
        self.publish(route())
        response = self.call(
            "/p/x?q=1",
            Loomyard_Tenant="somebody",
            Loomyard_Expect_Instance="other",
            X_Own="kept",
            Connection="X-Hop",
            X_Hop="dropped",
        )
        self.assertEqual((200, b"whole"), (response.status, response.data))
        self.assertEqual("stamp.attempt-1", response.headers["Loomyard-Server-Stamp"])
        got = target.received[0]
        self.assertEqual("POST /p/x?q=1 HTTP/1.1", got.line)
        self.assertEqual(b"hello", got.body)
        self.assertEqual("north", got.headers["loomyard-tenant"])
        self.assertEqual("t1", got.headers["loomyard-expect-instance"])
        self.assertEqual("attempt-1", got.attempt_id)
        self.assertEqual("kept", got.headers["x-own"])
        self.assertLessEqual(int(got.headers["loomyard-deadline-ms"]), 5000)
        for name in ("authorization", "x-hop", "connection"):
            self.assertNotIn(name, got.headers)

    def test_the_deadline_of_the_route_bounds_that_of_the_target(self) -> None:
        target = self.target("t1", plain_script)
        self.publish(route(timeout=1.5))
        self.call()
        self.assertLessEqual(int(target.received[0].headers["loomyard-deadline-ms"]), 1500)

    def test_a_public_route_needs_no_key_and_names_no_account(self) -> None:
        target = self.target("t1", plain_script)
        self.publish(route(public=True))
        self.assertEqual(200, self.call(Authorization="", Loomyard_Tenant="x").status)
        self.assertNotIn("loomyard-tenant", target.received[0].headers)

    def test_unknown_key_route_and_host(self) -> None:
        target = self.target("t1", plain_script)
        self.publish(route())
        self.assertEqual(401, self.call(Authorization="Bearer nobody").status)
        self.assertEqual(404, self.call("/q/x").status)
        self.assertEqual(404, self.call(Host="b.example").status)
        self.assertEqual([], target.received)

    def test_without_a_configuration_nothing_is_denied(self) -> None:
        response = self.call()
        self.assertEqual(503, response.status)
        self.assertGreater(float(response.headers["Retry-After"]), 0)

    def test_a_body_over_the_limit(self) -> None:
        target = self.target("t1", plain_script)
        self.publish(route(), limits=CallerLimits(body_bytes=10))
        self.assertEqual(413, self.call(body=b"x" * 11).status)
        self.assertEqual([], target.received)

    def test_a_chunked_body_arrives_with_a_length(self) -> None:
        target = self.target("t1", plain_script)
        self.publish(route())
        sock = self.connect()
        head = request_bytes("/p/x", body=b"", Transfer_Encoding="chunked")
        sock.sendall(head + chunk(b"hel") + chunk(b"lo") + b"0\r\n\r\n")
        self.assertIn(b"200 OK", sock.recv(100))
        self.assertEqual(b"hello", target.received[0].body)

    def test_a_connection_is_kept(self) -> None:
        target = self.target("t1", plain_script)
        self.publish(route(**REPEATABLE))
        sock = self.connect()
        for number in range(3):
            response = self.call(sock=sock, Loomyard_Attempt_Id=f"a{number}")
            self.assertEqual(200, response.status)
        self.assertEqual(1, target.connections)


class TestRepeats(RoutedCase):
    def test_a_refusal_that_says_not_run_goes_to_another_target(self) -> None:
        self.target("t1", lambda request, sock: sock.sendall(refusal(request)))
        self.target("t2", lambda request, sock: sock.sendall(refusal(request)))
        taking = self.target("t3", plain_script)
        self.publish(route(max_attempts=3))
        self.assertEqual(200, self.call().status)
        self.assertEqual(1, len(taking.received))

    def test_refused_by_all_is_refused_as_not_run(self) -> None:
        self.target("t1", lambda request, sock: sock.sendall(refusal(request)))
        self.publish(route())
        response = self.call()
        self.assertEqual(503, response.status)
        self.assertGreater(float(response.headers["Retry-After"]), 0)

    def test_a_wrong_target_at_the_address_has_not_run_it(self) -> None:
        def misdirected(request: Received, sock: socket.socket) -> None:
            sock.sendall(b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")

        self.target("t1", misdirected)
        self.target("t2", misdirected)
        self.publish(route())
        self.assertEqual(503, self.call().status)

    def test_what_may_run_once_is_sent_once(self) -> None:
        first = self.target("t1", lambda request, sock: True)
        second = self.target("t2", lambda request, sock: True)
        self.publish(route())
        response = self.call()
        self.assertEqual(502, response.status)
        self.assertIsNone(response.headers["Retry-After"])
        self.assertEqual(1, len(first.received) + len(second.received))

    def test_a_stream_that_may_not_be_resumed_is_sent_once(self) -> None:
        first = self.target("t1", lambda request, sock: True)
        second = self.target("t2", lambda request, sock: True)
        self.publish(route(kind=RouteKind.STREAM))
        self.assertEqual(502, self.call().status)
        self.assertEqual(1, len(first.received) + len(second.received))

    def test_a_repeatable_request_goes_on_within_its_attempts(self) -> None:
        received = []

        def lose(request: Received, sock: socket.socket) -> bool:
            received.append(request)
            return True

        for number in range(4):
            self.target(f"t{number}", lose)
        self.publish(route(**REPEATABLE, max_attempts=3))
        self.assertEqual(502, self.call().status)
        self.assertEqual(3, len(received))

    def test_an_error_of_a_target_is_passed_on_or_repeated(self) -> None:
        def fail(request: Received, sock: socket.socket) -> None:
            sock.sendall(answer(request, b"broken", status="500 Internal Server Error"))

        self.target("t1", fail)
        self.publish(route("/once/"), route("/again/", **REPEATABLE))
        response = self.call("/once/x")
        self.assertEqual((500, b"broken"), (response.status, response.data))
        self.assertIn("Loomyard-Server-Stamp", response.headers)
        self.target("t2", plain_script)
        statuses = {self.call("/again/x", Loomyard_Attempt_Id=f"a{n}").status for n in range(4)}
        self.assertEqual({200}, statuses)

    def test_the_timeout_of_the_route_ends_it(self) -> None:
        self.target("t1", hang)
        self.publish(route(timeout=0.3))
        self.assertEqual(504, self.call().status)

    def test_an_unreachable_target_was_sent_nothing(self) -> None:
        gone = self.target("t1", plain_script)
        gone.stop()
        taking = self.target("t2", plain_script)
        self.publish(route(max_attempts=1))
        statuses = [self.call(Loomyard_Attempt_Id=f"a{number}").status for number in range(6)]
        self.assertEqual([200] * 6, statuses)
        self.assertEqual(6, len(taking.received))


class TestAnswers(RoutedCase):
    def test_an_answer_to_another_attempt_reaches_nobody(self) -> None:
        self.target("t1", lambda r, sock: sock.sendall(answer(r, echo="another")))
        self.publish(route())
        response = self.call()
        self.assertEqual((502, b""), (response.status, response.data))

    def test_a_success_without_the_mark_of_a_target_reaches_nobody(self) -> None:
        def unmarked(request: Received, sock: socket.socket) -> None:
            whole = answer(request).replace(b"Loomyard-Server-Stamp", b"X-Nothing")
            sock.sendall(whole)

        self.target("t1", unmarked)
        self.publish(route())
        self.assertEqual(502, self.call().status)

    def test_bytes_after_an_answer_end_the_connection(self) -> None:
        target = self.target("t1", lambda r, sock: sock.sendall(answer(r) + answer(r, b"again")))
        self.publish(route(**REPEATABLE))
        for number in range(3):
            response = self.call(Loomyard_Attempt_Id=f"a{number}")
            self.assertEqual(b"whole", response.data)
        self.assertEqual(3, target.connections)

    def test_a_late_second_answer_is_not_the_next_ones(self) -> None:
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

    def test_bytes_that_are_no_answer(self) -> None:
        def spoil(request: Received, sock: socket.socket) -> bool:
            sock.sendall(b"\x00\x01 nonsense\r\n\r\n")
            return True

        self.target("t1", spoil)
        self.publish(route())
        self.assertEqual(502, self.call().status)

    def test_an_answer_without_a_length(self) -> None:
        def unframed(request: Received, sock: socket.socket) -> bool:
            sock.sendall(answer(request).replace(b"Content-Length: 5\r\n", b""))
            return True

        self.target("t1", unframed)
        self.publish(route())
        self.assertEqual(b"whole", self.call().data)

    def test_an_answer_before_a_long_body_was_read(self) -> None:
        def early(request: Received, sock: socket.socket) -> None:
            sock.sendall(answer(request, b"no", status="400 Bad Request"))

        target = self.target("t1", early)
        self.publish(route(**REPEATABLE))
        response = self.call(body=b"x" * 200_000)
        self.assertEqual((400, b"no"), (response.status, response.data))
        self.assertEqual(200_000, len(target.received[0].body))


class TestStreams(RoutedCase):
    def test_whole_events_pass_as_they_come(self) -> None:
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

    def test_a_broken_stream_goes_on_at_another_target_under_the_first_head(self) -> None:
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

    def test_a_caller_goes_on_after_the_event_that_it_names(self) -> None:
        def stream(request: Received, sock: socket.socket) -> None:
            first = int(request.headers["last-event-id"]) + 1
            sock.sendall(stream_head(request) + chunk(event(first)) + b"0\r\n\r\n")

        self.target("t1", stream, "engine")
        self.publish(route(service="engine", **RESUMABLE))
        self.assertEqual(event(8), self.call(Last_Event_Id="7").data)


class TestCallersThatGo(RoutedCase):
    def test_a_caller_that_goes_ends_its_work_at_the_target(self) -> None:
        for kind in ({"kind": RouteKind.STREAM}, REPEATABLE):
            with self.subTest(kind=kind):
                target = self.target(f"t-{kind['kind'].value}", hang, kind["kind"].value)
                self.publish(
                    route(service=kind["kind"].value, **kind),
                    version=self.router.holder.version + 2,
                )
                sock = self.connect()
                sock.sendall(request_bytes("/p/x"))
                self.until(lambda target=target: target.received)
                sock.close()
                self.until(lambda target=target: target.broken_off)

    def test_the_place_of_a_caller_that_goes_is_free_again(self) -> None:
        target = self.target("t1", hang, "engine")
        self.publish(route(service="engine", kind=RouteKind.STREAM))
        socks = []
        for number in range(4):
            sock = self.connect()
            sock.sendall(request_bytes("/p/x", Loomyard_Attempt_Id=f"a{number}"))
            socks.append(sock)
        self.until(lambda: len(target.received) == 4)
        self.assertEqual(503, self.call(Loomyard_Attempt_Id="more").status)
        for sock in socks:
            sock.close()
        self.until(lambda: target.broken_off == 4)
        target.script = plain_script
        self.assertEqual(200, self.call(Loomyard_Attempt_Id="last").status)


class TestTargetsThatLeave(RoutedCase):
    def test_a_draining_target_gets_nothing_new(self) -> None:
        leaving = self.target("t1", plain_script)
        self.publish(route(**REPEATABLE))
        self.assertEqual(200, self.call().status)
        staying = self.target("t2", plain_script)
        self.announce(leaving.announced(draining=True))
        before = len(leaving.received)
        for number in range(6):
            self.call(Loomyard_Attempt_Id=f"a{number}")
        self.assertEqual(before, len(leaving.received))
        self.assertGreaterEqual(len(staying.received), 6)

    def test_without_a_target_a_request_is_refused_as_not_run(self) -> None:
        self.publish(route())
        response = self.call()
        self.assertEqual(503, response.status)
        self.assertGreater(float(response.headers["Retry-After"]), 0)


class TestConnections(RoutedCase):
    most_connections = 3

    def test_a_refusal_closes_its_connection(self) -> None:
        self.publish(route())
        sock = self.connect()
        self.assertEqual(503, self.call(sock=sock).status)
        self.assertEqual(b"", sock.recv(1))

    def test_too_many_connections_close_the_one_that_rested_longest(self) -> None:
        self.target("t1", plain_script)
        self.publish(route())
        resting = [self.connect() for _ in range(3)]
        for number, sock in enumerate(resting):
            self.call(sock=sock, Loomyard_Attempt_Id=f"a{number}")
        self.assertEqual(200, self.call(Loomyard_Attempt_Id="last").status)
        self.assertEqual(b"", resting[0].recv(1))
        self.assertEqual(200, self.call(sock=resting[1], Loomyard_Attempt_Id="more").status)


class TestStop(RoutedCase):
    def test_a_stop_lets_what_runs_end_and_refuses_what_comes_late(self) -> None:
        go_on = gevent.event.Event()

        def slow(request: Received, sock: socket.socket) -> None:
            go_on.wait()
            sock.sendall(answer(request))

        target = self.target("t1", slow)
        self.publish(route())
        kept = self.connect()
        running = gevent.spawn(self.call)
        self.until(lambda: target.received)
        stopping = gevent.spawn(self.router.drain)
        self.until(lambda: self.router.stopping)
        self.assertFalse(self.router.ready)
        self.until(lambda: self.router.closing)
        with self.assertRaises(ConnectionRefusedError):
            self.connect()
        self.assertEqual(b"", kept.recv(10))
        go_on.set()
        response = running.get()
        self.assertEqual((200, b"whole"), (response.status, response.data))
        self.assertEqual("close", response.headers["Connection"])
        stopping.join()


if __name__ == "__main__":
    unittest.main()
