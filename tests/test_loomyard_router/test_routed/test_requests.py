"""Tests of requests on routes and their retries."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from attrs import evolve

from loomyard_router.routes.caller_limits import CallerLimits
from loomyard_router.routes.kind import RouteKind
from test_loomyard_router.test_routed.routed_case import RoutedCase, request_bytes, route
from test_loomyard_router.test_routed.scripted_target import (
    Received,
    answer,
    chunk,
    hang,
    plain_script,
    refusal,
)

if TYPE_CHECKING:
    import socket

    from result import Result

    from loomyard.errors import Fault
    from loomyard_router.admission.slot_permit import SlotPermit
    from loomyard_router.routed.routed_request import RoutedRequest

REPEATABLE = {"kind": RouteKind.IDEMPOTENT}


class TestRequests(RoutedCase):
    def test_the_request_that_a_target_receives(self) -> None:
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

    def test_an_unknown_key_route_or_host_is_refused(self) -> None:
        target = self.target("t1", plain_script)
        self.publish(route())
        self.assertEqual(401, self.call(Authorization="Bearer nobody").status)
        self.assertEqual(404, self.call("/q/x").status)
        self.assertEqual(404, self.call(Host="b.example").status)
        self.assertEqual([], target.received)

    def test_without_a_configuration_the_answer_is_503_instead_of_404(self) -> None:
        response = self.call()
        self.assertEqual(503, response.status)
        self.assertGreater(float(response.headers["Retry-After"]), 0)

    def test_a_body_over_the_limit_is_refused(self) -> None:
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

    def test_the_connection_to_the_target_is_reused(self) -> None:
        target = self.target("t1", plain_script)
        self.publish(route(**REPEATABLE))
        sock = self.connect()
        for number in range(3):
            response = self.call(sock=sock, Loomyard_Attempt_Id=f"a{number}")
            self.assertEqual(200, response.status)
        self.assertEqual(1, target.connections)


class TestLeavingTargets(RoutedCase):
    def test_a_target_that_began_to_leave_during_the_wait_for_a_slot_gets_no_request(self) -> None:
        targets = {name: self.target(name, plain_script) for name in ("t1", "t2")}
        self.publish(route())
        forwarder, registry = self.router.app._forwarder, self.router.registry
        gate, left = forwarder._gate, []

        class LeavingGate:
            def acquire(
                self, request: RoutedRequest, avoided: frozenset[str]
            ) -> Result[SlotPermit, Fault]:
                permit = gate.acquire(request, avoided)
                if not left:
                    left.append(permit.unwrap().target)
                    registry.apply([evolve(left[0], draining=True)], [])
                return permit

        forwarder._gate = LeavingGate()
        self.assertEqual(200, self.call().status)
        leaving = left[0].id
        self.assertEqual([], targets[leaving].received)
        self.assertEqual(1, sum(len(target.received) for target in targets.values()))


class TestRetries(RoutedCase):
    def test_a_refusal_that_says_not_run_goes_to_another_target(self) -> None:
        self.target("t1", lambda request, sock: sock.sendall(refusal(request)))
        self.target("t2", lambda request, sock: sock.sendall(refusal(request)))
        taking = self.target("t3", plain_script)
        self.publish(route(max_attempts=3))
        self.assertEqual(200, self.call().status)
        self.assertEqual(1, len(taking.received))

    def test_a_request_refused_by_all_targets_is_refused_as_not_run(self) -> None:
        self.target("t1", lambda request, sock: sock.sendall(refusal(request)))
        self.publish(route())
        response = self.call()
        self.assertEqual(503, response.status)
        self.assertGreater(float(response.headers["Retry-After"]), 0)

    def test_a_misdirected_request_counts_as_not_run(self) -> None:
        def misdirected(request: Received, sock: socket.socket) -> None:
            sock.sendall(b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")

        self.target("t1", misdirected)
        self.target("t2", misdirected)
        self.publish(route())
        self.assertEqual(503, self.call().status)

    def test_a_non_idempotent_request_is_sent_once(self) -> None:
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

    def test_an_idempotent_request_is_retried_up_to_its_attempts(self) -> None:
        received = []

        def lose(request: Received, sock: socket.socket) -> bool:
            received.append(request)
            return True

        for number in range(4):
            self.target(f"t{number}", lose)
        self.publish(route(**REPEATABLE, max_attempts=3))
        self.assertEqual(502, self.call().status)
        self.assertEqual(3, len(received))

    def test_an_error_of_a_target_is_relayed_or_retried(self) -> None:
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

    def test_the_timeout_of_the_route_gives_504(self) -> None:
        self.target("t1", hang)
        self.publish(route(timeout=0.3))
        self.assertEqual(504, self.call().status)

    def test_an_unreachable_target_does_not_count_as_an_attempt(self) -> None:
        gone = self.target("t1", plain_script)
        gone.stop()
        taking = self.target("t2", plain_script)
        self.publish(route(max_attempts=1))
        statuses = [self.call(Loomyard_Attempt_Id=f"a{number}").status for number in range(6)]
        self.assertEqual([200] * 6, statuses)
        self.assertEqual(6, len(taking.received))


class TestTargetsThatLeave(RoutedCase):
    def test_a_draining_target_gets_no_new_requests(self) -> None:
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


if __name__ == "__main__":
    unittest.main()
