"""Tests of at most one execution for each key, from what the target saw."""

from __future__ import annotations

import unittest

import gevent
from attrs import evolve
from gevent.event import AsyncResult
from result import Err

from loomyard.errors import Executed, Fault, ResultCode
from loomyard_router.claims.keeper import RecordedOutcome
from loomyard_router.claims.keys import digest_of, partition_of
from loomyard_router.claims.messages import BeginClaim
from test_loomyard_router.claims_fleet import TIMEOUT, WINDOW, ClaimsFleet, key, settle

FIRST = RecordedOutcome(status=200, content_type="text/plain", body=b"1")


class ClaimsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = ClaimsFleet()
        self.addCleanup(self.fleet.stop)
        self.clock = self.fleet.clock
        self.log = self.fleet.log

    def serve(self, keeper, wanted=None):
        return self.fleet.run(self.fleet.serve, keeper, wanted or key())

    def code(self, keeper, wanted=None) -> ResultCode:
        return self.serve(keeper, wanted).unwrap_err().code

    def begun(self, keeper, wanted=None):
        """Claim and begin as a router that does not go on."""
        claim = keeper.claim(wanted or key(), self.clock.now() + TIMEOUT).unwrap()
        keeper.begin(claim, self.clock.now() + TIMEOUT).unwrap()
        return claim

    def test_two_routers_race_one_key(self) -> None:
        keepers = self.fleet.start("a", "b", "c")
        tasks = [gevent.spawn(self.fleet.run, self.fleet.serve, k, key()) for k in keepers]
        gevent.joinall(tasks, raise_error=True)
        self.assertEqual([task.value.unwrap() for task in tasks], [FIRST] * 3)
        self.assertEqual(self.fleet.sends["k"], 1)

    def test_repeat_after_restart_of_every_router_gets_the_outcome(self) -> None:
        self.serve(*self.fleet.start("a"))
        self.fleet.pass_time()
        self.fleet.kill("a")
        self.assertEqual(self.serve(self.fleet.restart("a")).unwrap(), FIRST)
        self.assertEqual(self.fleet.sends["k"], 1)

    def test_other_request_under_the_key_is_refused(self) -> None:
        first, second = self.fleet.start("a", "b")
        self.serve(first)
        self.fleet.pass_time()
        fault = self.serve(second, key(fingerprint=b"other")).unwrap_err()
        self.assertEqual((fault.code, fault.executed), (ResultCode.KEY_REUSED, Executed.NO))

    def test_owner_dies_before_begin(self) -> None:
        first, second = self.fleet.start("a", "b")
        first.claim(key(), TIMEOUT).unwrap()
        self.fleet.kill("a")
        self.assertEqual(self.serve(second).unwrap(), FIRST)
        self.assertEqual(self.fleet.sends["k"], 1)

    def test_owner_dies_after_begin(self) -> None:
        first, second = self.fleet.start("a", "b")
        self.begun(first)
        self.fleet.kill("a")
        fault = self.serve(second).unwrap_err()
        self.assertEqual(
            (fault.code, fault.executed), (ResultCode.OUTCOME_UNKNOWN, Executed.UNKNOWN)
        )
        self.assertEqual(self.code(self.fleet.restart("a")), ResultCode.OUTCOME_UNKNOWN)
        self.assertEqual(self.fleet.sends["k"], 0)
        seen = [s for k in self.fleet.keepers.values() for s in k._hosting.unknown()]
        self.assertEqual([(s.owner, s.incarnation) for s in seen], [("a", 1)])

    def test_repeat_attaches_to_the_running_one_until_its_deadline(self) -> None:
        first, second = self.fleet.start("a", "b")
        claim = self.begun(first)
        self.assertEqual(self.code(second), ResultCode.KEY_IN_PROGRESS)
        task = gevent.spawn(self.fleet.run, self.fleet.serve, second, key())
        settle()
        first.finish(claim, self.fleet.send(claim))
        self.assertEqual(task.get().unwrap(), FIRST)

    def test_unknown_outcome_stays_so_until_the_owner_learns_more(self) -> None:
        first, second = self.fleet.start("a", "b")
        claim = self.begun(first)
        first.finish(claim, None)
        self.fleet.pass_time()
        for keeper in (first, second):
            self.assertEqual(self.code(keeper), ResultCode.OUTCOME_UNKNOWN)
        self.assertEqual(self.fleet.sends["k"], 0)

    def test_paused_after_claim_while_another_runs(self) -> None:
        first, second = self.fleet.start("a", "b")
        claim = first.claim(key(), TIMEOUT).unwrap()
        self.serve(second)
        fault = first.begin(claim, self.clock.now() + TIMEOUT).unwrap_err()
        self.assertEqual(fault.code, ResultCode.KEY_IN_PROGRESS)
        self.assertEqual(self.serve(first).unwrap(), FIRST)

    def test_paused_in_begin_past_the_deadline(self) -> None:
        first, second = self.fleet.start("a", "b")
        claim = first.claim(key(), TIMEOUT).unwrap()
        task = gevent.spawn(first.begin, claim, self.clock.now() + TIMEOUT)
        self.clock._now += TIMEOUT  # no task runs meanwhile
        fault = self.fleet.run(task.get).unwrap_err()
        self.assertEqual(fault.executed, Executed.NO)
        self.fleet.pass_time()
        self.assertEqual(self.serve(second).unwrap(), FIRST)

    def test_paused_between_begin_and_send_nobody_else_sends(self) -> None:
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

    def test_planned_stop_records_what_has_ended(self) -> None:
        first, second = self.fleet.start("a", "b")
        claim = self.begun(first)
        first.finish(claim, self.fleet.send(claim))
        self.fleet.run(first.stop)
        self.fleet.kill("a")
        self.assertEqual(self.serve(second).unwrap(), FIRST)

    def test_lost_answer_of_each_append(self) -> None:
        keepers = self.fleet.start("a", "b")
        for lost in range(1, 4):
            with self.subTest(lost=lost):
                wanted = key(f"lost-{lost}")
                self.log.lose_answers = lost
                self.assertTrue(self.serve(keepers[lost % 2], wanted).is_ok())
                self.fleet.pass_time()
                self.assertTrue(self.serve(keepers[0], wanted).is_ok())
                self.assertEqual(self.fleet.sends[wanted.key], 1)

    def test_second_host_answers_where_the_first_hangs(self) -> None:
        keepers = self.fleet.start("a", "b", "c")
        first = keepers[0]._hosting._hosts[partition_of(digest_of(key()))][0]
        asking = next(k for k in keepers if k._members.own.name != first)
        answered = asking._hosting._peers.request

        def request(to, message, deadline):
            if to != first:
                return answered(to, message, deadline)
            self.clock.sleep(deadline - self.clock.now())
            return Err(Fault(code=ResultCode.PEER_UNREACHABLE, detail=""))

        asking._hosting._peers.request = request
        self.assertEqual(self.serve(asking).unwrap(), FIRST)

    def test_unexpected_error_of_the_log_client_is_survived(self) -> None:
        (keeper,) = self.fleet.start("a")
        append = self.log.append
        self.log.append = lambda stream, payload: 1 / 0
        self.assertEqual(self.code(keeper), ResultCode.CLAIM_UNAVAILABLE)
        self.log.append = append
        self.fleet.pass_time()
        self.assertEqual(self.serve(keeper).unwrap(), FIRST)

    def test_log_down_refuses_at_once(self) -> None:
        (keeper,) = self.fleet.start("a")
        claim = keeper.claim(key(), TIMEOUT).unwrap()
        self.log.down = True
        fault = self.fleet.run(keeper.begin, claim, TIMEOUT).unwrap_err()
        self.assertEqual((fault.code, fault.executed), (ResultCode.CLAIM_UNAVAILABLE, Executed.NO))
        self.fleet.pass_time(10.0)
        before = self.clock.now()
        refused = keeper.claim(key("other"), before + TIMEOUT).unwrap_err()
        self.assertEqual(refused.code, ResultCode.CLAIM_UNAVAILABLE)
        self.assertIsNotNone(refused.retry_after)
        self.assertEqual(self.clock.now(), before)
        self.log.down = False
        self.fleet.pass_time(2.0)
        self.assertEqual(self.serve(keeper).unwrap(), FIRST)

    def test_slow_append_refuses_at_once_and_reads_do_not_spin(self) -> None:
        (keeper,) = self.fleet.start("a")
        claim = keeper.claim(key(), TIMEOUT).unwrap()
        self.log.append = lambda stream, payload: AsyncResult().get()
        task = gevent.spawn(keeper.begin, claim, TIMEOUT)
        reads = []
        read = self.log.read
        self.log.read = lambda *a, **o: reads.append(a) or read(*a, **o)
        settle()
        self.fleet.pass_time(3.0)
        self.assertEqual(task.value.unwrap_err().code, ResultCode.CLAIM_UNAVAILABLE)
        refused = keeper.claim(key(), self.clock.now() + TIMEOUT).unwrap_err()
        self.assertEqual(refused.code, ResultCode.CLAIM_UNAVAILABLE)
        self.assertLess(len(reads), 100)

    def test_router_that_has_not_read_to_the_end_refuses(self) -> None:
        self.log.down = True
        (keeper,) = self.fleet.start("a")
        self.assertEqual(self.code(keeper), ResultCode.CLAIM_UNAVAILABLE)

    def test_trimmed_stream_keeps_what_the_window_holds(self) -> None:
        keeper, _ = self.fleet.start("a", "b")
        self.serve(keeper, key("old"))
        self.fleet.pass_time(2 * WINDOW + 200)
        self.serve(keeper)
        for stream in list(self.log._records):
            if (self.log.end(stream)) > 2:
                self.log.trim(stream, 2)
        self.fleet.pass_time()
        self.fleet.kill("a")
        self.assertEqual(self.serve(self.fleet.restart("a")).unwrap(), FIRST)
        self.assertEqual(self.fleet.sends["k"], 1)

    def test_host_that_fell_behind_a_trim_goes_on_from_what_is_kept(self) -> None:
        first, second = self.fleet.start("a", "b")
        self.serve(first, key("old"))
        self.fleet.pass_time()
        self.log.down = True
        self.fleet.pass_time(2 * WINDOW + 400)
        for stream in list(self.log._records):
            self.log._first[stream] += 50  # others appended, and all of it was trimmed
            self.log._records[stream].clear()
        self.log.down = False
        self.fleet.pass_time(2.0)
        for keeper in (first, second):
            self.assertTrue(self.serve(keeper, key("old")).is_ok())
        self.assertEqual(self.fleet.sends["old"], 2)  # past the window it is a new key

    def test_key_with_a_time_is_refused_outside_the_window(self) -> None:
        (keeper,) = self.fleet.start("a")
        wall = self.clock.wall()
        for issued_at in (wall - WINDOW - 1, wall + 60):
            wanted = key(issued_at=issued_at)
            self.assertEqual(self.code(keeper, wanted), ResultCode.KEY_EXPIRED)
        self.assertEqual(self.fleet.sends["k"], 0)

    def test_host_refuses_a_claimant_whose_wall_clock_differs(self) -> None:
        (keeper,) = self.fleet.start("a")
        wall = self.clock.wall()
        for wrong in (wall + 31, wall - 31, float("nan")):
            begun = evolve(self.record(keeper), begun_at=wrong)
            answer = keeper._hosting.answer(BeginClaim(begun=begun), TIMEOUT)
            self.assertIsNone(answer.verdict)
        self.assertEqual(self.log.appends, 0)

    def record(self, keeper):
        claim = keeper.claim(key(), TIMEOUT).unwrap()
        return keeper._make_begun(claim, TIMEOUT)

    def test_kept_body_is_bounded(self) -> None:
        (keeper,) = self.fleet.start("a")
        large = RecordedOutcome(status=201, content_type="x\udc80" * 999, body=b"x" * 17_000)
        keeper.finish(self.begun(keeper), large)
        self.fleet.pass_time()
        outcome = self.serve(keeper).unwrap()
        self.assertEqual((outcome.status, outcome.body), (201, None))
        self.assertEqual(outcome.content_type, "x?" * 100)
