"""Tests of the choice of routers that may serve callers of a lagging one."""

from __future__ import annotations

import random
import unittest

from attrs import evolve

from loomyard_router.members.membership import Member, MemberState
from loomyard_router.offload.offload_candidates import (
    EXCLUSION_SECONDS,
    PORT_OFFSET,
    OffloadCandidates,
)
from loomyard_standins.fake_clock import FakeClock
from test_loomyard_router.test_admission.slots_case import Members
from test_loomyard_router.test_admission.test_share_ledger import Fitness


class OffloadCandidatesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock()
        self.fleet = [
            Member(name=f"r{n}", incarnation=1, address=f"10.0.0.{n}:7400", data_centre="a")
            for n in range(5)
        ]
        self.members = Members(self.fleet[0], self.fleet)
        self.fitness = Fitness()
        self.candidates = OffloadCandidates(
            self.clock, self.members, self.fitness, random.Random(1)
        )

    def chosen(self) -> set[str]:
        found = (self.candidates.choose() for _ in range(100))
        return {one.name for one in found if one is not None}

    def test_all_others_are_chosen_by_turns_at_their_second_port(self) -> None:
        self.assertEqual({"r1", "r2", "r3", "r4"}, self.chosen())
        one = self.candidates.choose()
        assert one is not None
        self.assertEqual((f"10.0.0.{one.name[1:]}", 7400 + PORT_OFFSET), one.address)

    def test_routers_elsewhere_lagging_or_suspected_are_left_out(self) -> None:
        self.fleet[1] = evolve(self.fleet[1], data_centre="b")
        self.fleet[2] = evolve(self.fleet[2], state=MemberState.SUSPECT)
        self.members.change(self.fleet)
        self.fitness.change("r3")
        self.assertEqual({"r4"}, self.chosen())
        self.fitness.change("r3", "r4")
        self.assertEqual(set(), self.chosen())

    def test_a_router_that_did_not_accept_is_left_out_for_a_while(self) -> None:
        self.candidates.exclude("r1")
        self.assertEqual({"r2", "r3", "r4"}, self.chosen())
        self.clock.advance(EXCLUSION_SECONDS)
        self.assertEqual({"r1", "r2", "r3", "r4"}, self.chosen())


if __name__ == "__main__":
    unittest.main()
