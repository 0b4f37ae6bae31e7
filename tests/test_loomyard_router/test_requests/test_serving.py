"""Tests of the way of a request, judged by what the targets and the caller saw."""

from __future__ import annotations

import random
import unittest
from typing import TYPE_CHECKING

import gevent
from gevent.event import Event
from result import Ok

from loomyard.clock import SystemClock
from loomyard.codec import encode
from loomyard.configuration import Change, Put
from loomyard.errors import Executed, ResultCode
from loomyard.objects import ClientAccount, Metadata, Route, Service, ServiceType, Target
from loomyard_router.claims.keeper import Claim, ClaimKey, RecordedOutcome
from loomyard_router.configuration.follower import CONFIG_STREAM, ConfigFollower
from loomyard_router.metrics.meters import Meters
from loomyard_router.peers.no_peers import NoPeers
from loomyard_router.requests.estimates import CostEstimates
from loomyard_router.requests.journal import Journal
from loomyard_router.requests.request import Request
from loomyard_router.requests.resume_holds import ResumeHolds
from loomyard_router.requests.resuming import Resuming
from loomyard_router.requests.retries import Retries
from loomyard_router.requests.serving import Serving
from loomyard_router.requests.stream_token import StreamTokens
from loomyard_router.requests.whole_answers import HELD_BYTES, AnswerBrokenError
from loomyard_router.shares.local import make_local_policy
from loomyard_router.targets.directory import make_configured_targets
from loomyard_router.targets.http_engine import make_http_engine
from loomyard_standins.log_service import MemoryLog
from loomyard_standins.scripted_target import ScriptedTarget, answer_bytes, stream_head

if TYPE_CHECKING:
    from gevent.socket import socket

    from loomyard_standins.scripted_target import ReceivedCall

NOT_RUN = "Loomyard-Not-Run: 1\r\n"
LEAVING = "Loomyard-Leaving: 1\r\n"
USAGE = b'data: {"choices": [], "usage": {"prompt_tokens": 7, "completion_tokens": 3}}\n\n'


class AtOnce(random.Random):
    """Wait not at all between attempts."""

    def uniform(self, a: float, b: float) -> float:
        return a


class ClaimRecorder:
    """Grant every claim and note what follows."""

    def __init__(self) -> None:
        self.steps: list[object] = []

    def claim(self, key: ClaimKey, deadline: float) -> Ok[Claim]:
        self.steps.append("claim")
        return Ok(Claim(key=key, claim_id="c"))

    def begin(self, claim: Claim, deadline: float) -> Ok[None]:
        self.steps.append("begin")
        return Ok(None)

    def finish(self, claim: Claim, outcome: RecordedOutcome | None) -> None:
        self.steps.append(outcome)

    def abandon(self, claim: Claim) -> None:
        self.steps.append("abandon")


class ServingCase(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = SystemClock()
        self.claims = ClaimRecorder()
        self.targets = make_configured_targets()
        self.left: list[str] = []
        self.targets.report_leaving = self.left.append  # type: ignore[method-assign]
        self.policy = make_local_policy(self.clock)
        self.engines = [ScriptedTarget(answer_whole) for _ in range(2)]
        for engine in self.engines:
            engine.start()
            self.addCleanup(engine.stop)

    def serve(self, **options: object):
        request = self.make_request(**options)
        return self.make_serving().serve(request)

    def make_serving(self) -> Serving:
        follower = ConfigFollower(MemoryLog(), self.clock)
        follower._log.append(CONFIG_STREAM, encode(self.change()))
        follower.subscribe(self.targets.reconfigure)
        follower.poll()
        self.account = follower.routing.accounts["kiosk"]
        self.services = follower.routing.services
        engine = make_http_engine(self.clock)
        resuming = Resuming(
            clock=self.clock,
            follower=follower,
            engine=engine,
            tokens=StreamTokens(("secret",)),
            holds=ResumeHolds(self.clock, NoPeers(), "router-0", seconds=5.0),
        )
        return Serving(
            resuming=resuming,
            meters=Meters(self.clock),
            clock=self.clock,
            follower=follower,
            policy=self.policy,
            targets=self.targets,
            claims=self.claims,
            engine=engine,
            estimates=CostEstimates(),
            journal=Journal(self.clock),
            retries=Retries(self.clock, spread=AtOnce()),
        )

    def change(self) -> Change:
        objects = [
            ClientAccount(metadata=Metadata(name="kiosk")),
            Service(metadata=Metadata(name="assistant")),
            Service(metadata=Metadata(name="records"), type=ServiceType.PLAIN),
            *(Route(metadata=Metadata(name=name), service=name) for name in self.names()),
            *(
                Target(
                    metadata=Metadata(name=f"t{number}"),
                    url=engine.url,
                    services=list(self.names()),
                    slots=1,
                )
                for number, engine in enumerate(self.engines)
            ),
        ]
        return Change(change_id="1", puts=[Put(object=item) for item in objects])

    def names(self) -> tuple[str, str]:
        return ("assistant", "records")

    def make_request(self, service: str = "records", **options: object) -> Request:
        kind = ServiceType.MODEL if service == "assistant" else ServiceType.PLAIN
        return Request(
            request_id="req-1",
            account=ClientAccount(metadata=Metadata(name="kiosk")),
            service=Service(metadata=Metadata(name=service), type=kind),
            method="POST",
            path="/v1/completions",
            body=b"{}",
            arrived_at=self.clock.now(),
            deadline=self.clock.now() + 5.0,
            **options,
        )

    def script(self, *scripts) -> None:
        """Answer the calls of both targets in this order."""
        left = list(scripts)
        for engine in self.engines:
            engine.script = lambda call, sock: left.pop(0)(call, sock)

    @property
    def sent(self) -> int:
        return sum(len(engine.work) for engine in self.engines)

    def assert_slots_free(self) -> None:
        self.assertEqual(self.policy._running.total(), 0)


class ServingTest(ServingCase):
    def test_a_refusal_that_ran_nothing_is_retried_and_a_run_is_recorded_once(self) -> None:
        self.script(refuse(NOT_RUN), refuse(LEAVING), answer_whole)
        answer = self.serve(idempotent=False, key="k").unwrap()
        self.assertEqual(b"".join(answer.body), b'{"ok": 1}')
        self.assertEqual(self.sent, 3)
        self.assertEqual(len(self.left), 1)
        self.assertEqual(self.claims.steps[:2], ["claim", "begin"])
        self.assertEqual([step.body for step in self.claims.steps[2:]], [b'{"ok": 1}'])
        self.assert_slots_free()

    def test_a_lost_answer_of_a_request_that_may_run_once_stays_unknown(self) -> None:
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

    def test_what_was_refused_everywhere_is_certain_and_the_claim_goes_back(self) -> None:
        self.script(*[refuse(NOT_RUN)] * 9)
        fault = self.serve(idempotent=False, key="k").unwrap_err()
        self.assertEqual((fault.code, fault.executed), (ResultCode.TARGET_REFUSED, Executed.NO))
        self.assertIsNotNone(fault.retry_after)
        self.assertEqual(self.claims.steps, ["claim", "begin", "abandon"])
        self.assert_slots_free()

    def test_a_refusal_after_a_lost_answer_is_not_certain(self) -> None:
        self.script(hang_up, *[refuse(NOT_RUN)] * 9)
        self.assertIs(self.serve().unwrap_err().executed, Executed.UNKNOWN)

    def test_a_long_answer_passes_and_one_that_breaks_off_ends_the_connection(self) -> None:
        long = b"x" * (HELD_BYTES + 10)
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

    def test_a_target_that_is_not_there_is_passed_over(self) -> None:
        self.engines[0].stop()
        for _ in range(3):
            self.assertEqual(self.serve(idempotent=False).unwrap().status, 200)
        self.assertEqual(len(self.engines[1].work), 3)
        self.assert_slots_free()

    def test_answers_of_other_attempts_never_reach_the_caller(self) -> None:
        self.script(other_attempt, answer_whole)
        answer = self.serve(idempotent=True).unwrap()
        self.assertEqual(b"".join(answer.body), b'{"ok": 1}')

    def test_a_deadline_is_checked_before_anything_is_sent(self) -> None:
        request = self.make_request(idempotent=False, key="k")
        request.deadline = self.clock.now()
        fault = self.make_serving().serve(request).unwrap_err()
        self.assertEqual((fault.code, fault.executed), (ResultCode.DEADLINE_PASSED, Executed.NO))
        self.assertEqual((self.sent, self.claims.steps), (0, []))

    def test_a_queued_request_is_given_up_at_once_by_a_stop_or_its_caller(self) -> None:
        hold = Event()
        self.script(*[lambda call, sock: hold.wait() and answer_whole(call, sock)] * 2)
        serving = self.make_serving()
        running = [gevent.spawn(serving.serve, self.make_request()) for _ in range(2)]
        leaver, stopped = self.make_request(), self.make_request()
        queued = [gevent.spawn(serving.serve, request) for request in (leaver, stopped)]
        gevent.sleep(0.01)
        leaver.presence.leave()
        self.assertEqual(queued[0].get().unwrap_err().code, ResultCode.CALLER_GONE)
        serving.stop()
        fault = queued[1].get().unwrap_err()
        self.assertEqual((fault.code, fault.executed), (ResultCode.STOPPING, Executed.NO))
        hold.set()
        self.assertEqual([task.get().unwrap().status for task in running], [200, 200])
        self.assertEqual(self.sent, 2)
        self.assert_slots_free()


class StreamTest(ServingCase):
    def stream(self, *scripts, **options: object) -> bytes:
        self.script(*scripts)
        options = {"service": "assistant", "stream": True, **options}
        answer = self.serve(**options).unwrap()
        data = b"".join(answer.body)
        answer.body.close()
        self.assert_slots_free()
        return data

    def test_a_broken_stream_is_resumed_with_exactly_the_rest(self) -> None:
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

    def test_a_stream_that_is_gone_is_started_again_only_while_nothing_was_passed_on(self) -> None:
        whole = events(0, 2) + done(2)
        self.assertEqual(self.stream(stream(b""), gone, stream(whole)), whole)
        data = self.stream(stream(events(0, 1)), gone, stream(whole))
        self.assertIn(b'"code": "3005"', data)
        self.assertNotIn(b"[DONE]", data)

    def test_the_usage_event_reaches_only_callers_who_ask(self) -> None:
        data = events(0, 2) + USAGE + done(3)
        self.assertEqual(self.stream(stream(data), usage_asked=True), data)
        kept = events(0, 2) + done(3)
        self.assertEqual(self.stream(stream(data), usage_asked=False), kept)


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


def answer_whole(call: ReceivedCall, sock: socket) -> None:
    sock.sendall(answer_bytes(call, b'{"ok": 1}'))


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
