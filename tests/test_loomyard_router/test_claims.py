"""Tests that the request of a key is sent to the target at most once.

They cover races between routers, crashes and process pauses at each step, lost answers of the log,
unresponsive hosts and trimmed streams. A second send would execute a request twice.
"""

from __future__ import annotations

import unittest

import gevent
from attrs import evolve
from gevent.event import AsyncResult
from result import Err

from loomyard.errors import Executed, Fault, ResultCode
from loomyard_router.claims.claim_coordinator import RecordedOutcome
from loomyard_router.claims.keys import digest_key, partition_of
from loomyard_router.claims.messages import BeginClaim
from test_loomyard_router.claims_fleet import TIMEOUT, WINDOW, ClaimsFleet, key, settle

FIRST = RecordedOutcome(status=200, content_type="text/plain", body=b"1")


class ClaimsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = ClaimsFleet()
        self.addCleanup(self.fleet.stop)
        self.clock = self.fleet.clock
        self.log = self.fleet.log

    def serve(self, coordinator, claim_key=None):
        return self.fleet.run(self.fleet.serve, coordinator, claim_key or key())

    def code(self, coordinator, claim_key=None) -> ResultCode:
        return self.serve(coordinator, claim_key).unwrap_err().code

    def begun(self, coordinator, claim_key=None):
        """Claim and begin, without sending the request."""
        claim = coordinator.claim(claim_key or key(), self.clock.now() + TIMEOUT).unwrap()
        coordinator.begin(claim, self.clock.now() + TIMEOUT).unwrap()
        return claim

    def test_routers_that_race_for_a_key_send_once(self) -> None:
        coordinators = self.fleet.start("a", "b", "c")
        tasks = [gevent.spawn(self.fleet.run, self.fleet.serve, k, key()) for k in coordinators]
        gevent.joinall(tasks, raise_error=True)
        self.assertEqual([task.value.unwrap() for task in tasks], [FIRST] * 3)
        self.assertEqual(self.fleet.sends["k"], 1)

    def test_outcome_survives_a_restart_of_every_router(self) -> None:
        self.serve(*self.fleet.start("a"))
        self.fleet.pass_time()
        self.fleet.kill("a")
        self.assertEqual(self.serve(self.fleet.restart("a")).unwrap(), FIRST)
        self.assertEqual(self.fleet.sends["k"], 1)

    def test_other_request_with_the_same_key_is_refused(self) -> None:
        first, second = self.fleet.start("a", "b")
        self.serve(first)
        self.fleet.pass_time()
        fault = self.serve(second, key(fingerprint=b"other")).unwrap_err()
        self.assertEqual((fault.code, fault.executed), (ResultCode.KEY_REUSED, Executed.NO))

    def test_key_is_free_if_the_owner_crashes_before_begin(self) -> None:
        first, second = self.fleet.start("a", "b")
        first.claim(key(), TIMEOUT).unwrap()
        self.fleet.kill("a")
        self.assertEqual(self.serve(second).unwrap(), FIRST)
        self.assertEqual(self.fleet.sends["k"], 1)

    def test_outcome_is_unknown_if_the_owner_crashes_after_begin(self) -> None:
        first, second = self.fleet.start("a", "b")
        self.begun(first)
        self.fleet.kill("a")
        fault = self.serve(second).unwrap_err()
        self.assertEqual(
            (fault.code, fault.executed), (ResultCode.OUTCOME_UNKNOWN, Executed.UNKNOWN)
        )
        self.assertEqual(self.code(self.fleet.restart("a")), ResultCode.OUTCOME_UNKNOWN)
        self.assertEqual(self.fleet.sends["k"], 0)
        seen = [s for k in self.fleet.coordinators.values() for s in k._hosting.report_unknown()]
        self.assertEqual([(s.owner, s.incarnation) for s in seen], [("a", 1)])

    def test_repeated_request_waits_for_the_running_one_until_its_deadline(self) -> None:
        first, second = self.fleet.start("a", "b")
        claim = self.begun(first)
        self.assertEqual(self.code(second), ResultCode.KEY_IN_PROGRESS)
        task = gevent.spawn(self.fleet.run, self.fleet.serve, second, key())
        settle()
        first.finish(claim, self.fleet.send(claim))
        self.assertEqual(task.get().unwrap(), FIRST)

    def test_unknown_outcome_is_returned_by_every_router(self) -> None:
        first, second = self.fleet.start("a", "b")
        claim = self.begun(first)
        first.finish(claim, None)
        self.fleet.pass_time()
        for coordinator in (first, second):
            self.assertEqual(self.code(coordinator), ResultCode.OUTCOME_UNKNOWN)
        self.assertEqual(self.fleet.sends["k"], 0)

    def test_router_paused_after_claim_does_not_begin_after_another(self) -> None:
        first, second = self.fleet.start("a", "b")
        claim = first.claim(key(), TIMEOUT).unwrap()
        self.serve(second)
        fault = first.begin(claim, self.clock.now() + TIMEOUT).unwrap_err()
        self.assertEqual(fault.code, ResultCode.KEY_IN_PROGRESS)
        self.assertEqual(self.serve(first).unwrap(), FIRST)

    def test_router_paused_in_begin_past_the_deadline_does_not_send(self) -> None:
        first, second = self.fleet.start("a", "b")
        claim = first.claim(key(), TIMEOUT).unwrap()
        task = gevent.spawn(first.begin, claim, self.clock.now() + TIMEOUT)
        self.clock._now += TIMEOUT  # without running tasks, like a pause of the process
        fault = self.fleet.run(task.get).unwrap_err()
        self.assertEqual(fault.executed, Executed.NO)
        self.fleet.pass_time()
        self.assertEqual(self.serve(second).unwrap(), FIRST)

    def test_claim_of_a_router_paused_between_begin_and_send_is_not_taken_over(self) -> None:
        first, second = self.fleet.start("a", "b")
        claim = self.begun(first)
        self.fleet.pass_time(10 * TIMEOUT)
        self.assertEqual(self.code(second), ResultCode.OUTCOME_UNKNOWN)
        first.finish(claim, self.fleet.send(claim))
        self.fleet.pass_time()
        self.assertEqual(self.serve(second).unwrap(), FIRST)
        self.assertEqual(self.fleet.sends["k"], 1)

    def test_abandoned_claim_frees_the_key(self) -> None:
        first, second = self.fleet.start("a", "b")
        first.abandon(self.begun(first))
        self.fleet.pass_time()
        self.assertEqual(self.serve(second).unwrap(), FIRST)

    def test_planned_stop_records_pending_outcomes(self) -> None:
        first, second = self.fleet.start("a", "b")
        claim = self.begun(first)
        first.finish(claim, self.fleet.send(claim))
        self.fleet.run(first.stop)
        self.fleet.kill("a")
        self.assertEqual(self.serve(second).unwrap(), FIRST)

    def test_lost_answer_of_an_append_causes_no_second_send(self) -> None:
        coordinators = self.fleet.start("a", "b")
        for lost in range(1, 4):
            with self.subTest(lost=lost):
                claim_key = key(f"lost-{lost}")
                self.log.lose_answers = lost
                self.assertTrue(self.serve(coordinators[lost % 2], claim_key).is_ok())
                self.fleet.pass_time()
                self.assertTrue(self.serve(coordinators[0], claim_key).is_ok())
                self.assertEqual(self.fleet.sends[claim_key.key], 1)

    def test_second_host_answers_where_the_first_hangs(self) -> None:
        coordinators = self.fleet.start("a", "b", "c")
        first = coordinators[0]._hosting._hosts[partition_of(digest_key(key()))][0]
        other = next(c for c in coordinators if c._members.own.name != first)
        forward = other._hosting._peers.request

        def request(to, message, deadline):
            if to != first:
                return forward(to, message, deadline)
            self.clock.sleep(deadline - self.clock.now())
            return Err(Fault(code=ResultCode.PEER_UNREACHABLE, detail=""))

        other._hosting._peers.request = request
        self.assertEqual(self.serve(other).unwrap(), FIRST)

    def test_host_recovers_from_an_unexpected_error_of_the_log_client(self) -> None:
        (coordinator,) = self.fleet.start("a")
        append = self.log.append
        self.log.append = lambda stream, payload: 1 / 0
        self.assertEqual(self.code(coordinator), ResultCode.CLAIM_UNAVAILABLE)
        self.log.append = append
        self.fleet.pass_time()
        self.assertEqual(self.serve(coordinator).unwrap(), FIRST)

    def test_claims_are_refused_at_once_while_the_log_is_down(self) -> None:
        (coordinator,) = self.fleet.start("a")
        claim = coordinator.claim(key(), TIMEOUT).unwrap()
        self.log.down = True
        fault = self.fleet.run(coordinator.begin, claim, TIMEOUT).unwrap_err()
        self.assertEqual((fault.code, fault.executed), (ResultCode.CLAIM_UNAVAILABLE, Executed.NO))
        self.fleet.pass_time(10.0)
        before = self.clock.now()
        refused = coordinator.claim(key("other"), before + TIMEOUT).unwrap_err()
        self.assertEqual(refused.code, ResultCode.CLAIM_UNAVAILABLE)
        self.assertIsNotNone(refused.retry_after)
        self.assertEqual(self.clock.now(), before)
        self.log.down = False
        self.fleet.pass_time(2.0)
        self.assertEqual(self.serve(coordinator).unwrap(), FIRST)

    def test_claims_are_refused_at_once_during_a_slow_append_without_busy_reads(self) -> None:
        (coordinator,) = self.fleet.start("a")
        claim = coordinator.claim(key(), TIMEOUT).unwrap()
        self.log.append = lambda stream, payload: AsyncResult().get()
        task = gevent.spawn(coordinator.begin, claim, TIMEOUT)
        reads = []
        read = self.log.read
        self.log.read = lambda *a, **o: reads.append(a) or read(*a, **o)
        settle()
        self.fleet.pass_time(3.0)
        self.assertEqual(task.value.unwrap_err().code, ResultCode.CLAIM_UNAVAILABLE)
        refused = coordinator.claim(key(), self.clock.now() + TIMEOUT).unwrap_err()
        self.assertEqual(refused.code, ResultCode.CLAIM_UNAVAILABLE)
        self.assertLess(len(reads), 100)

    def test_claims_are_refused_until_the_stream_is_read_to_its_end(self) -> None:
        self.log.down = True
        (coordinator,) = self.fleet.start("a")
        self.assertEqual(self.code(coordinator), ResultCode.CLAIM_UNAVAILABLE)

    def test_outcome_within_the_window_survives_a_trim(self) -> None:
        coordinator, _ = self.fleet.start("a", "b")
        self.serve(coordinator, key("old"))
        self.fleet.pass_time(2 * WINDOW + 200)
        self.serve(coordinator)
        for stream in list(self.log._records):
            if (self.log.end(stream)) > 2:
                self.log.trim(stream, 2)
        self.fleet.pass_time()
        self.fleet.kill("a")
        self.assertEqual(self.serve(self.fleet.restart("a")).unwrap(), FIRST)
        self.assertEqual(self.fleet.sends["k"], 1)

    def test_host_that_missed_trimmed_records_continues_after_them(self) -> None:
        first, second = self.fleet.start("a", "b")
        self.serve(first, key("old"))
        self.fleet.pass_time()
        self.log.down = True
        self.fleet.pass_time(2 * WINDOW + 400)
        for stream in list(self.log._records):
            self.log._first[stream] += 50  # records that were appended and trimmed meanwhile
            self.log._records[stream].clear()
        self.log.down = False
        self.fleet.pass_time(2.0)
        for coordinator in (first, second):
            self.assertTrue(self.serve(coordinator, key("old")).is_ok())
        self.assertEqual(self.fleet.sends["old"], 2)  # the key expired with its window

    def test_key_that_carries_a_time_is_refused_outside_the_window(self) -> None:
        (coordinator,) = self.fleet.start("a")
        wall = self.clock.wall()
        for issued_at in (wall - WINDOW - 1, wall + 60):
            claim_key = key(issued_at=issued_at)
            self.assertEqual(self.code(coordinator, claim_key), ResultCode.KEY_EXPIRED)
        self.assertEqual(self.fleet.sends["k"], 0)

    def test_host_refuses_a_claimant_whose_wall_clock_differs(self) -> None:
        (coordinator,) = self.fleet.start("a")
        wall = self.clock.wall()
        for wrong in (wall + 31, wall - 31, float("nan")):
            begun = evolve(self.record(coordinator), begun_at=wrong)
            answer = coordinator._hosting.answer(BeginClaim(begun=begun), TIMEOUT)
            self.assertIsNone(answer.verdict)
        self.assertEqual(self.log.appends, 0)

    def record(self, coordinator):
        claim = coordinator.claim(key(), TIMEOUT).unwrap()
        return coordinator._make_begun(claim, TIMEOUT)

    def test_recorded_body_and_content_type_are_limited(self) -> None:
        (coordinator,) = self.fleet.start("a")
        large = RecordedOutcome(status=201, content_type="x\udc80" * 999, body=b"x" * 17_000)
        coordinator.finish(self.begun(coordinator), large)
        self.fleet.pass_time()
        outcome = self.serve(coordinator).unwrap()
        self.assertEqual((outcome.status, outcome.body), (201, None))
        self.assertEqual(outcome.content_type, "x?" * 100)
