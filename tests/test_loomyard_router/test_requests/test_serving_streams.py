"""Tests of streams in the request pipeline, checked at the targets and at the caller."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from loomyard.errors import ResultCode
from loomyard_router.relays.event_framing import MAX_EVENT_LENGTH
from loomyard_router.requests.retries import MAX_ATTEMPTS
from loomyard_standins.scripted_target import answer_bytes, stream_head
from test_loomyard_router.test_requests.serving_case import ServingCase

if TYPE_CHECKING:
    from gevent.socket import socket

    from loomyard_standins.scripted_target import ReceivedCall

USAGE = b'data: {"choices": [], "usage": {"prompt_tokens": 7, "completion_tokens": 3}}\n\n'


class StreamTest(ServingCase):
    def stream(self, *scripts, **options: object) -> bytes:
        self.script(*scripts)
        options = {"service": "assistant", "stream": True, **options}
        answer = self.serve(**options).unwrap()
        data = b"".join(answer.body)
        answer.body.close()
        self.assert_slots_free()
        return data

    def test_a_broken_stream_is_resumed_with_exactly_the_remaining_events(self) -> None:
        whole = events(0, 6) + done(6)
        for broken, rest in (
            (events(0, 3), events(3, 6) + done(6)),
            (events(0, 3) + b"id: 3\ndata: ha", events(3, 6) + done(6)),
            (events(0, 3), events(1, 6) + done(6)),
        ):
            with self.subTest(broken=broken, rest=rest):
                self.assertEqual(self.stream(stream(broken), stream(rest)), whole)
                resumed = [c.line for e in self.engines for c in e.calls if "after" in c.line]
                self.assertEqual(resumed[-1], "GET /streams/req-1.1?after=2")

    def test_missing_events_end_the_stream_with_a_numbered_error(self) -> None:
        data = self.stream(stream(events(0, 3)), stream(events(4, 6) + done(6)))
        self.assertTrue(data.startswith(events(0, 3) + b'data: {"error": '))
        self.assertIn(b'"code": "3006"', data)
        self.assertNotIn(b"[DONE]", data)

    def test_a_stream_unknown_to_the_engine_is_restarted_only_if_nothing_was_relayed(self) -> None:
        whole = events(0, 2) + done(2)
        self.assertEqual(self.stream(stream(b""), gone, stream(whole)), whole)
        data = self.stream(stream(events(0, 1)), gone, stream(whole))
        self.assertIn(b'"code": "3005"', data)
        self.assertNotIn(b"[DONE]", data)

    def test_an_endless_event_is_buffered_up_to_a_limit_only(self) -> None:
        endless = stream(b"data: " + b"x" * (2 * MAX_EVENT_LENGTH))
        self.script(*[endless] * MAX_ATTEMPTS)
        request = self.make_request("assistant", stream=True)
        fault = self.make_serving().serve(request).unwrap_err()
        self.assertIs(fault.code, ResultCode.ANSWER_INVALID)
        self.assert_slots_free()

    def test_the_usage_event_is_sent_only_to_callers_that_request_it(self) -> None:
        data = events(0, 2) + USAGE + done(3)
        self.assertEqual(self.stream(stream(data), usage_requested=True), data)
        kept = events(0, 2) + done(3)
        self.assertEqual(self.stream(stream(data), usage_requested=False), kept)


def events(first: int, end: int) -> bytes:
    return b"".join(b'id: %d\ndata: {"choices": [%d]}\n\n' % (n, n) for n in range(first, end))


def done(number: int) -> bytes:
    return b"id: %d\ndata: [DONE]\n\n" % number


def stream(data: bytes):
    def script(call: ReceivedCall, sock: socket) -> None:
        sock.sendall(stream_head(call).replace(b"Loomyard-Attempt: \r\n", b"") + data)

    return script


def gone(call: ReceivedCall, sock: socket) -> None:
    sock.sendall(answer_bytes(call, b"", status="404 Not Found"))


if __name__ == "__main__":
    unittest.main()
