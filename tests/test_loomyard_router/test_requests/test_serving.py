"""Tests of the request pipeline, checked at the targets and at the caller."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

import gevent
from gevent.event import Event

from loomyard.errors import Executed, ResultCode
from loomyard_router.requests.whole_answers import MAX_BUFFERED_BYTES, AnswerBrokenError
from loomyard_standins.scripted_target import answer_bytes
from test_loomyard_router.test_requests.serving_case import ServingCase, answer_whole

if TYPE_CHECKING:
    from gevent.socket import socket

    from loomyard_standins.scripted_target import ReceivedCall

NOT_RUN = "Loomyard-Not-Run: 1\r\n"
LEAVING = "Loomyard-Leaving: 1\r\n"


class ServingTest(ServingCase):
    def test_a_leaving_target_and_a_back_off_are_reported(self) -> None:
        self.script(lambda call, sock: sock.sendall(answer_bytes(call, b"{}", headers=LEAVING)))
        self.serve(idempotent=False, key="k").unwrap()
        self.assertEqual(1, len(self.left))
        before = self.clock.now()
        self.script(refuse(f"{NOT_RUN}Retry-After: 30\r\n"), refuse(NOT_RUN), answer_whole)
        self.serve(idempotent=False, key="l").unwrap()
        self.assertEqual(1, len(self.rests))
        self.assertGreaterEqual(self.rests[0][1], before + 30.0)

    def test_a_refusal_that_ran_nothing_is_retried_and_a_run_is_recorded_once(self) -> None:
        self.script(refuse(NOT_RUN), refuse(LEAVING), answer_whole)
        answer = self.serve(idempotent=False, key="k").unwrap()
        self.assertEqual(b"".join(answer.body), b'{"ok": 1}')
        self.assertEqual(self.sent, 3)
        self.assertEqual(len(self.left), 1)
        self.assertEqual(self.claims.steps[:2], ["claim", "begin"])
        self.assertEqual([step.body for step in self.claims.steps[2:]], [b'{"ok": 1}'])
        self.assert_slots_free()

    def test_the_outcome_of_a_non_idempotent_request_without_answer_stays_unknown(self) -> None:
        for lose in (hang_up, half_answer, half_head, other_attempt):
            with self.subTest(lose=lose.__name__):
                self.claims.steps.clear()
                before = self.sent
                self.script(lose, answer_whole)
                fault = self.serve(idempotent=False, key="k").unwrap_err()
                self.assertIs(fault.executed, Executed.UNKNOWN)
                self.assertEqual(self.sent - before, 1)
                self.assertEqual(self.claims.steps, ["claim", "begin", None])
                self.assert_slots_free()

    def test_a_request_refused_by_all_targets_did_not_run_and_releases_its_claim(self) -> None:
        self.script(*[refuse(NOT_RUN)] * 9)
        fault = self.serve(idempotent=False, key="k").unwrap_err()
        self.assertEqual((fault.code, fault.executed), (ResultCode.TARGET_REFUSED, Executed.NO))
        self.assertIsNotNone(fault.retry_after)
        self.assertEqual(self.claims.steps, ["claim", "begin", "abandon"])
        self.assert_slots_free()

    def test_a_refusal_after_a_lost_answer_leaves_the_outcome_unknown(self) -> None:
        self.script(hang_up, *[refuse(NOT_RUN)] * 9)
        self.assertIs(self.serve().unwrap_err().executed, Executed.UNKNOWN)

    def test_a_long_answer_is_relayed_and_a_broken_one_closes_the_connection(self) -> None:
        long = b"x" * (MAX_BUFFERED_BYTES + 10)
        self.script(lambda call, sock: sock.sendall(answer_bytes(call, long)))
        answer = self.serve(idempotent=False, key="k").unwrap()
        self.assertEqual(b"".join(answer.body), long)
        answer.body.close()
        self.assertIsNone(self.claims.steps[-1].body)
        self.script(lambda call, sock: sock.sendall(answer_bytes(call, long)[:-1]))
        answer = self.serve(idempotent=True).unwrap()
        with self.assertRaises(AnswerBrokenError):
            list(answer.body)
        answer.body.close()
        self.assert_slots_free()

    def test_an_unreachable_target_is_skipped(self) -> None:
        self.engines[0].stop()
        for _ in range(3):
            self.assertEqual(self.serve(idempotent=False).unwrap().status, 200)
        self.assertEqual(len(self.engines[1].work_calls), 3)
        self.assert_slots_free()

    def test_answers_of_other_attempts_never_reach_the_caller(self) -> None:
        self.script(other_attempt, answer_whole)
        answer = self.serve(idempotent=True).unwrap()
        self.assertEqual(b"".join(answer.body), b'{"ok": 1}')

    def test_a_request_past_its_deadline_is_not_sent(self) -> None:
        request = self.make_request(idempotent=False, key="k")
        request.deadline = self.clock.now()
        fault = self.make_serving().serve(request).unwrap_err()
        self.assertEqual((fault.code, fault.executed), (ResultCode.DEADLINE_PASSED, Executed.NO))
        self.assertEqual((self.sent, self.claims.steps), (0, []))

    def test_a_stop_or_a_disconnect_ends_a_queued_request_at_once(self) -> None:
        hold = Event()
        self.script(*[lambda call, sock: hold.wait() and answer_whole(call, sock)] * 2)
        serving = self.make_serving()
        running = [gevent.spawn(serving.serve, self.make_request()) for _ in range(2)]
        leaving, stopped = self.make_request(), self.make_request()
        queued = [gevent.spawn(serving.serve, request) for request in (leaving, stopped)]
        gevent.sleep(0.01)
        leaving.presence.mark_gone()
        self.assertEqual(queued[0].get().unwrap_err().code, ResultCode.CALLER_GONE)
        serving.stop()
        fault = queued[1].get().unwrap_err()
        self.assertEqual((fault.code, fault.executed), (ResultCode.STOPPING, Executed.NO))
        hold.set()
        self.assertEqual([task.get().unwrap().status for task in running], [200, 200])
        self.assertEqual(self.sent, 2)
        self.assert_slots_free()


def refuse(headers: str):
    def script(call: ReceivedCall, sock: socket) -> None:
        status = "503 Service Unavailable"
        sock.sendall(answer_bytes(call, b"", status=status, headers=headers))

    return script


def hang_up(call: ReceivedCall, sock: socket) -> None:
    pass


def half_head(call: ReceivedCall, sock: socket) -> None:
    sock.sendall(b"HTTP/1.1 200 OK\r\nContent-")


def half_answer(call: ReceivedCall, sock: socket) -> None:
    sock.sendall(answer_bytes(call, b'{"ok": 1}')[:-3])


def other_attempt(call: ReceivedCall, sock: socket) -> None:
    sock.sendall(answer_bytes(call, b'{"no": 1}').replace(call.attempt.encode(), b"req-0.1"))


if __name__ == "__main__":
    unittest.main()
