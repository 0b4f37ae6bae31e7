"""Tests of a lagging router that passes connections of callers on to another one."""

from __future__ import annotations

import http.client
from typing import TYPE_CHECKING
from unittest.mock import patch

import gevent

from loomyard_router.offload import offloader
from loomyard_router.routes.kind import RouteKind
from test_loomyard_router.test_offload.offload_case import OffloadCase
from test_loomyard_router.test_routed.routed_case import request_bytes, route
from test_loomyard_router.test_routed.scripted_target import (
    Received,
    chunk,
    event,
    plain_script,
    stream_head,
)

if TYPE_CHECKING:
    import socket

EVENTS = 20


class OffloadTest(OffloadCase):
    def setUp(self) -> None:
        super().setUp()
        self.target_ = self.target("t1", plain_script)
        self.publish(route())
        self.let_lag(self.router)

    # Guards against an account that gets no more than one core can serve, while others idle.
    def test_callers_of_a_lagging_router_are_served_by_another_one(self) -> None:
        for number in range(10):
            response = self.call(body=b"x" * 100_000, Loomyard_Attempt_Id=f"a{number}")
            self.assertEqual(200, response.status)
        self.assertEqual([100_000] * 10, [len(one.body) for one in self.target_.received])
        self.assertEqual((0, 10), (self.ended(self.routers[0]), self.ended(self.routers[1])))

    def test_both_lag_and_each_serves_its_own(self) -> None:
        self.let_lag(self.routers[1])
        self.routers[0]._lagging_routers._record("router-2")
        self.assertEqual(200, self.call().status)
        self.assertEqual((1, 0), (self.ended(self.routers[0]), self.ended(self.routers[1])))

    def test_a_connection_is_passed_on_only_once(self) -> None:
        self.let_lag(self.routers[1])
        self.assertEqual(200, self.call().status)
        self.assertEqual((0, 1), (self.ended(self.routers[0]), self.ended(self.routers[1])))

    def test_a_router_that_does_not_accept_is_left_out_and_the_request_served_here(self) -> None:
        self.routers[1].listeners.offloaded.stop()
        for _ in range(3):
            self.assertEqual(200, self.call().status)
        self.assertEqual(3, self.ended(self.routers[0]))

    # Guards against a late router that leaves out others which accepted in time.
    def test_a_router_that_accepted_is_used_though_this_one_noticed_late(self) -> None:
        own_timer = patch.object(offloader, "CONNECT_SECONDS", 0.0)
        with own_timer:
            sock = self.connect()
            sock.sendall(request_bytes("/p/x"))
            response = http.client.HTTPResponse(sock, method="POST")
            response.begin()
        self.assertEqual(200, response.status)
        self.assertEqual((0, 1), (self.ended(self.routers[0]), self.ended(self.routers[1])))

    def test_a_router_with_another_configuration_refuses_what_is_passed_on(self) -> None:
        self.routers[0].holder._table = None
        self.assertEqual(503, self.call().status)
        self.assertEqual([], self.target_.received)
        table = self.routers[1].holder.table
        self.routers[0].holder._table = table
        self.assertEqual(200, self.call().status)
        self.routers[0].listeners.offloader._table_version = lambda: table.version + 1
        response = self.call()
        self.assertEqual(503, response.status)
        self.assertGreater(float(response.headers["Retry-After"]), 0)
        self.assertEqual(1, len(self.target_.received))

    def test_each_passed_on_connection_ends_with_its_answer(self) -> None:
        sock = self.connect()
        response = self.call(sock=sock)
        self.assertEqual("close", response.headers["Connection"])
        self.assertEqual(b"", sock.recv(1))
        self.until(lambda: len(self.routers[0].listeners.offloader) == 0)
        self.assertEqual(0, self.routers[0].in_flight)
        self.assertEqual(0, self.routers[0]._listener._open_count)

    def test_a_caller_that_leaves_ends_its_work_at_the_target(self) -> None:
        reached, gone = gevent.event.Event(), gevent.event.Event()

        def hold(request: Received, sock: socket.socket) -> bool:
            reached.set()
            sock.recv(1)
            gone.set()
            return True

        self.target_.script = hold
        sock = self.connect()
        sock.sendall(request_bytes("/p/x"))
        self.assertTrue(reached.wait(5.0))
        sock.close()
        self.assertTrue(gone.wait(0.5))

    def test_a_planned_stop_waits_for_what_was_passed_on(self) -> None:
        begun, finish = gevent.event.Event(), gevent.event.Event()

        def slow(request: Received, sock: socket.socket) -> bool | None:
            begun.set()
            finish.wait(10.0)
            return plain_script(request, sock)

        self.target_.script = slow
        caller = gevent.spawn(self.call)
        self.assertTrue(begun.wait(5.0))
        stopping = gevent.spawn(self.routers[0].drain)
        gevent.sleep(3.0)
        finish.set()
        self.assertEqual(200, caller.get(timeout=5.0).status)
        stopping.get(timeout=10.0)


class OffloadedStreamTest(OffloadCase):
    def setUp(self) -> None:
        super().setUp()
        self.cut_after = EVENTS
        self.target_ = self.target("t1", self.stream)
        self.publish(route(kind=RouteKind.STREAM))
        self.let_lag(self.router)

    def stream(self, request: Received, sock: socket.socket) -> bool:
        sock.sendall(stream_head(request))
        for number in range(1, 1 + self.cut_after):
            sock.sendall(chunk(event(number)))
            gevent.sleep(0.005)
        if self.cut_after == EVENTS:
            sock.sendall(b"0\r\n\r\n")
        return True

    def test_the_whole_stream_arrives(self) -> None:
        response = self.call()
        self.assertEqual(b"".join(event(number) for number in range(1, 1 + EVENTS)), response.data)
        self.assertEqual(0, self.ended(self.routers[0]))

    def test_a_broken_stream_does_not_look_complete(self) -> None:
        self.cut_after = 3
        sock = self.connect()
        sock.sendall(request_bytes("/p/x"))
        response = http.client.HTTPResponse(sock)
        response.begin()
        with self.assertRaises((http.client.IncompleteRead, ConnectionError)):
            response.read()

    def test_a_stream_whose_router_stops_at_once_does_not_look_complete(self) -> None:
        sock = self.connect()
        sock.sendall(request_bytes("/p/x"))
        response = http.client.HTTPResponse(sock)
        response.begin()
        self.routers[1].stop()
        with self.assertRaises((http.client.IncompleteRead, ConnectionError)):
            response.read()
