"""Tests that each checker reports a violation of its invariant."""

from __future__ import annotations

import unittest

import gevent

from loomyard.external.engine import EngineOrder
from loomyard_standins.faults import planted_bugs as bugs
from loomyard_standins.faults.answer_fault import AnswerFault
from loomyard_standins.faults.checkers import CHECKERS, Invariant, check
from loomyard_standins.faults.fake_fleet import FakeFleet
from loomyard_standins.faults.observations import CallRecord, Observations, Run

RETRY_SECONDS = 3.0


class CheckersTest(unittest.TestCase):
    def fleet(self, **options) -> FakeFleet:
        fleet = FakeFleet(**options)
        self.addCleanup(fleet.close)
        return fleet

    def assert_violated(self, invariant: Invariant, observations: Observations) -> None:
        self.assertEqual({found.invariant for found in check(observations)}, {invariant})

    def assert_fleet_violates(self, invariant: Invariant, fleet: FakeFleet) -> None:
        fleet.run_loop_passes()
        self.assert_violated(invariant, fleet.observations)

    def test_every_invariant_has_a_checker(self) -> None:
        self.assertEqual(set(CHECKERS), set(Invariant))

    def test_no_violation_without_a_bug(self) -> None:
        fleet = self.fleet()
        fleet.callers.call_model("kiosk/1", "router-0")
        fleet.callers.call_model("kiosk/2", "router-1", stream=False)
        fleet.callers.call_plain("labels/1", "router-0", idempotent=True)
        fleet.publisher.publish_generation()
        fleet.run(0.1)
        fleet.callers.watch_models()
        self.assertEqual(check(fleet.observations), [])
        self.assertEqual(len(fleet.observations.runs), 3)

    def test_whole_answer(self) -> None:
        for bug in (bugs.CrossesAnswers, bugs.DoublesEvents, bugs.DropsEvents):
            with self.subTest(bug=bug.__name__):
                fleet = self.fleet(wrap_app=bug)
                fleet.callers.call_model("kiosk/1", "router-0")
                self.assert_fleet_violates(Invariant.WHOLE_ANSWER, fleet)
        for bug in (bugs.CrossesAnswers, bugs.CutsWholeAnswers):
            with self.subTest(bug=bug.__name__, stream=False):
                fleet = self.fleet(wrap_app=bug)
                fleet.callers.call_model("kiosk/1", "router-0", stream=False)
                self.assert_fleet_violates(Invariant.WHOLE_ANSWER, fleet)

    def test_not_executed(self) -> None:
        fleet = self.fleet(wrap_engine=bugs.DeniesExecution)
        fleet.faults.extend([AnswerFault.LOST] * 9)
        fleet.callers.call_plain("kiosk/1", "router-0", idempotent=True)
        fleet.run(RETRY_SECONDS)
        self.assert_fleet_violates(Invariant.NOT_EXECUTED, fleet)

    def test_at_most_once(self) -> None:
        fleet = self.fleet(wrap_engine=bugs.SendsTwice)
        fleet.callers.call_plain("kiosk/1", "router-0")
        self.assert_fleet_violates(Invariant.AT_MOST_ONCE, fleet)

    def test_leaving(self) -> None:
        fleet = self.fleet()
        fleet.observations.leaving = dict.fromkeys(fleet.targets, fleet.clock.now())
        fleet.run(2.1)
        fleet.callers.call_model("kiosk/1", "router-0")
        self.assert_fleet_violates(Invariant.LEAVING, fleet)

    def test_planned_stop(self) -> None:
        fleet = self.fleet()
        for engine in fleet.engines:
            engine.hold()
        fleet.callers.call_model("kiosk/1", "router-0")
        fleet.run_loop_passes()
        gevent.killall(fleet.routers["router-0"].calls)
        fleet.drain("router-0")
        fleet.run(1.0)
        self.assert_fleet_violates(Invariant.PLANNED_STOP, fleet)

    def test_stop_ends(self) -> None:
        fleet = self.fleet()
        fleet.routers["router-0"].application.drain = lambda: gevent.sleep(60)
        fleet.drain("router-0")
        self.assert_fleet_violates(Invariant.STOP_ENDS, fleet)

    def test_never_reverts(self) -> None:
        fleet = self.fleet()
        fleet.partition("router-1")
        fleet.publisher.publish_generation()
        fleet.run(0.1)
        fleet.callers.watch_router("router-0")
        routers = fleet.routers
        routers["router-0"], routers["router-1"] = routers["router-1"], routers["router-0"]
        fleet.callers.watch_router("router-0")
        self.assert_fleet_violates(Invariant.NEVER_REVERTS, fleet)

    def test_in_force(self) -> None:
        fleet = self.fleet()
        fleet.partition("router-1")
        fleet.publisher.publish_generation()
        fleet.observations.generations[1] = (fleet.clock.now(), frozenset(fleet.routers))
        fleet.run(3.1)
        fleet.callers.watch_models()
        self.assert_fleet_violates(Invariant.IN_FORCE, fleet)

    def test_no_starvation(self) -> None:
        fleet = self.fleet(policy="local")
        for engine in fleet.engines:
            engine.hold()
        for number in range(5):
            fleet.callers.call_model(f"genealogy/{number}", "router-0")
        fleet.callers.call_model("kiosk/1", "router-0")
        fleet.run(31)
        fleet.callers.call_plain("labels/1", "router-1", idempotent=True)
        for engine in fleet.engines:
            engine.release()
        fleet.run_loop_passes()
        self.assert_fleet_violates(Invariant.NO_STARVATION, fleet)

    def test_bounded_gap(self) -> None:
        def record(marker: str) -> CallRecord:
            account = marker.partition("/")[0]
            return CallRecord(
                marker=marker, account=account, router="r", expected="", started=0.0, ended=9.0
            )

        def run(number: int) -> Run:
            marker = f"genealogy/{number}"
            return Run(target="t", attempt_id="a", marker=marker, at=1.0 + number, tokens=100)

        observations = Observations(weights={"genealogy": 1.0, "kiosk": 1.0})
        observations.calls = [record("kiosk/0"), *(record(f"genealogy/{n}") for n in range(8))]
        observations.runs = [run(number) for number in range(3)]
        self.assertEqual(check(observations), [])
        observations.runs = [run(number) for number in range(8)]
        self.assert_violated(Invariant.BOUNDED_GAP, observations)

    def test_ends(self) -> None:
        fleet = self.fleet()
        for engine in fleet.engines:
            engine.hold()
        fleet.callers.call_model("kiosk/1", "router-0")
        self.assert_fleet_violates(Invariant.ENDS, fleet)

    def test_recovers(self) -> None:
        fleet = self.fleet(policy="fifo")
        for engine in fleet.engines:
            engine.up = False
        fleet.callers.probe()
        fleet.run(8.0)
        self.assert_fleet_violates(Invariant.RECOVERS, fleet)

    def test_agreed(self) -> None:
        fleet = self.fleet()
        fleet.partition("router-1")
        fleet.publisher.publish_race()
        fleet.run(0.1)
        fleet.callers.watch_models(final=True)
        self.assert_fleet_violates(Invariant.AGREED, fleet)

    def test_lapsed(self) -> None:
        fleet = self.fleet(policy="fifo")
        for number in range(4):
            fleet.callers.call_model(f"kiosk/{number}", "router-0")
        fleet.pause("router-0")
        fleet.run(3.5)
        fleet.wake("router-0")
        self.assert_fleet_violates(Invariant.LAPSED, fleet)

    def test_fenced(self) -> None:
        for checks in (True, False):
            fleet = self.fleet(checks_fencing=checks)
            engine = fleet.engines[0]
            for fencing in (7, 5):
                engine.order(EngineOrder(action="load", subject="m", fencing=fencing))
            if checks:
                self.assertEqual(check(fleet.observations), [])
            else:
                self.assert_fleet_violates(Invariant.FENCED, fleet)


if __name__ == "__main__":
    unittest.main()
