"""Tests that streams whose ids rise by any step are taken up by callers and routers."""

from __future__ import annotations

import http.client
import unittest
from typing import TYPE_CHECKING

from loomyard_router.routes.kind import RouteKind
from test_loomyard_router.test_routed.routed_case import RoutedCase, request_bytes, route
from test_loomyard_router.test_routed.scripted_target import (
    Received,
    Script,
    answer,
    chunk,
    stream_head,
)

if TYPE_CHECKING:
    import socket

RESUMABLE = {"kind": RouteKind.STREAM, "resumable": True}
LAST_TOKEN = 60
BROKEN_RUNS = 2


def event(first: int, last: int) -> bytes:
    """Return an event with some tokens, whose id is the number of tokens so far."""
    return b"id: %d\ndata: %b\n\n" % (last, b"".join(b"<%d>" % n for n in range(first, last + 1)))


def tokens(body: bytes) -> bytes:
    """Return what a caller reads."""
    return b"".join(line[6:] for line in body.split(b"\n") if line.startswith(b"data: "))


WHOLE = b"".join(b"<%d>" % number for number in range(1, LAST_TOKEN + 1))


def stream_in(step: int, *, runs: dict[str, int] | None = None) -> Script:
    """Return a target that groups by a step; with ``runs`` the first two of a stream break off."""

    def stream(request: Received, sock: socket.socket) -> bool:
        last = int(request.headers.get("last-event-id", 0))
        sock.sendall(stream_head(request))
        if runs is not None:
            runs[request.attempt_id] = runs.get(request.attempt_id, 0) + 1
        breaks_off = runs is not None and runs[request.attempt_id] <= BROKEN_RUNS
        stop = last + 2 * step if breaks_off else LAST_TOKEN
        while last < stop:
            end = min(last + step, LAST_TOKEN)
            sock.sendall(chunk(event(last + 1, end)))
            last = end
        if breaks_off:
            sock.sendall(chunk(b"id: 7"))
            return True
        sock.sendall(b"0\r\n\r\n")
        return False

    return stream


class StepsOfIdsTest(RoutedCase):
    # Guards against a stream that can't be taken up, as a step of its ids counts as a gap.
    def test_a_caller_takes_up_a_stream_on_a_kept_connection(self) -> None:
        for step in (6, 7, 1):
            self.target(f"t{step}", stream_in(step), "engine")
        self.publish(route(service="engine", **RESUMABLE))
        sock = self.connect()
        for after in range(6, LAST_TOKEN, 6):
            sock.sendall(request_bytes("/p/x", Last_Event_Id=str(after)))
            response = http.client.HTTPResponse(sock, method="POST")
            response.begin()
            rest = b"".join(b"<%d>" % n for n in range(after + 1, LAST_TOKEN + 1))
            self.assertEqual((200, rest), (response.status, tokens(response.read())))

    # Guards against a router that resumes only where ids rise by one.
    def test_a_router_resumes_twice_at_targets_that_group_otherwise(self) -> None:
        runs: dict[str, int] = {}
        for step in (1, 6, 9, 4, 2, 7):
            self.target(f"t{step}", stream_in(step, runs=runs), "engine")
        self.publish(route(service="engine", **RESUMABLE, max_attempts=3))
        for number in range(3):
            response = self.call(Loomyard_Attempt_Id=f"a-{number}")
            self.assertEqual((200, WHOLE), (response.status, tokens(response.data)))
        self.assertEqual([BROKEN_RUNS + 1] * 3, list(runs.values()))

    def test_an_id_of_digits_that_are_no_ascii_is_passed_on_like_any_text(self) -> None:
        def stream(request: Received, sock: socket.socket) -> None:
            sock.sendall(stream_head(request) + chunk(event(1, 6)) + b"0\r\n\r\n")

        target = self.target("t1", stream, "engine")
        self.publish(route(service="engine", **RESUMABLE))
        sock = self.connect()
        sock.sendall(request_bytes("/p/x", Last_Event_Id="N").replace(b"Id: N", b"Id: \xb2"))
        response = http.client.HTTPResponse(sock, method="POST")
        response.begin()
        self.assertEqual((200, event(1, 6)), (response.status, response.read()))
        self.assertEqual("\xb2", target.received[0].headers["last-event-id"])

    # Guards against a kept connection that is closed without any answer.
    def test_a_run_that_fits_nowhere_is_answered_before_its_first_event(self) -> None:
        def stream(request: Received, sock: socket.socket) -> None:
            if request.attempt_id == "next":
                sock.sendall(answer(request))
                return
            events = (b"id: %d\ndata: x\n\n" % number for number in (5, 10, 15, 20))
            sock.sendall(stream_head(request) + chunk(b"".join(events)) + b"0\r\n\r\n")

        self.target("t1", stream, "engine")
        self.publish(route(service="engine", **RESUMABLE))
        response = self.call(Last_Event_Id="18")
        self.assertEqual((502, b""), (response.status, response.data))
        self.until(lambda: self.router.in_flight == 0)
        self.assertEqual(b"whole", self.call(Loomyard_Attempt_Id="next").data)


if __name__ == "__main__":
    unittest.main()
