"""How soon every router knows of a request that ends targets.

Users excuse what is sent within three seconds of the third end, and routers that were out of touch
until three seconds after they are back.
"""

from __future__ import annotations

import unittest
from unittest import mock

from result import Err

from loomyard_router.crashes.crash_exchange import NEIGHBOURS
from loomyard_router.crashes.crash_messages import CrashNews, CrashWord
from test_loomyard_router.test_crashing.crash_fleet import CrashFleet

GUILTY = "guilty"
# Well within three seconds, of which the way to a router that was out of touch takes two.
BOUND = 2.5


class CrashExchangeTest(unittest.TestCase):
    def start(self, count: int, *, missing: int = 0, seed: int = 1) -> CrashFleet:
        fleet = CrashFleet(count, missing=missing, seed=seed)
        self.addCleanup(fleet.stop)
        fleet.run(3.0)
        return fleet

    def test_all_routers_of_a_small_fleet_know_at_once(self) -> None:
        fleet = self.start(7)
        fleet.block(GUILTY)
        fleet.run(0.02)
        self.assertEqual([], fleet.lacking(GUILTY))

    def test_all_routers_of_large_fleets_know_in_time(self) -> None:
        for count in (60, 360):
            for seed in range(3):
                with self.subTest(count=count, seed=seed):
                    fleet = self.start(count, seed=seed)
                    fleet.block(GUILTY)
                    fleet.run(BOUND)
                    self.assertEqual([], fleet.lacking(GUILTY))

    def test_a_router_that_starts_later_knows_in_time(self) -> None:
        for count in (2, 7, 60):
            with self.subTest(count=count):
                fleet = self.start(count, missing=1)
                fleet.block(GUILTY)
                fleet.run(5.0)
                fleet.start(f"r{count}")
                fleet.run(BOUND)
                self.assertEqual([], fleet.lacking(GUILTY))

    def test_routers_that_were_cut_off_know_in_time(self) -> None:
        for seed in range(5):
            with self.subTest(seed=seed):
                fleet = self.start(8, seed=seed)
                away, others = {"r5", "r6", "r7"}, {f"r{number}" for number in range(5)}
                fleet.network.cut(away, others)
                fleet.block(GUILTY)
                fleet.run(5.0)
                self.assertEqual(sorted(away), sorted(fleet.lacking(GUILTY)))
                fleet.network.heal()
                fleet.run(BOUND)
                self.assertEqual([], fleet.lacking(GUILTY))

    def test_two_that_do_not_reach_each_other_hear_through_a_third(self) -> None:
        fleet = self.start(3)
        fleet.network.cut({"r0"}, {"r1"})
        fleet.block(GUILTY)
        fleet.run(BOUND)
        self.assertEqual([], fleet.lacking(GUILTY))

    def test_lost_and_doubled_messages_do_no_harm(self) -> None:
        fleet = self.start(7)
        fleet.network.loss, fleet.network.doubled = 0.5, 0.3
        fleet.block(GUILTY)
        fleet.run(BOUND)
        self.assertEqual([], fleet.lacking(GUILTY))

    def test_that_a_request_ran_to_its_end_reaches_all(self) -> None:
        fleet = self.start(7)
        fleet.block(GUILTY)
        fleet.run(0.1)
        fleet.routers["r3"].ledger.clear(GUILTY)
        fleet.run(0.1)
        self.assertEqual(sorted(fleet.routers), sorted(fleet.lacking(GUILTY)))

    def test_a_quiet_fleet_asks_once_a_second_and_sends_no_records(self) -> None:
        fleet = self.start(7)
        fleet.block(GUILTY)
        fleet.run(5.0)
        before = fleet.network.sent_messages
        fleet.run(30.0)
        self.assertEqual(before, fleet.network.sent_messages)

    def test_a_router_of_a_large_fleet_asks_a_few_others_only(self) -> None:
        """Each other one that is asked costs a link, with its handshake and its memory."""
        fleet = self.start(60)
        exchange = fleet.routers["r0"].exchange
        asked = set()
        with mock.patch.object(
            exchange._peers, "request", lambda to, *_: asked.add(to) or Err("recorded")
        ):
            fleet.run(60.0)
        self.assertLessEqual(len(asked), NEIGHBOURS)

    def test_words_that_can_not_be_kept_are_passed_over(self) -> None:
        fleet = self.start(2)
        router = fleet.routers["r0"]
        words = [
            CrashWord(fingerprint="", cleared=0, ends=[], seconds=9),
            CrashWord(fingerprint="x" * 1000, cleared=0, ends=[], seconds=9),
            CrashWord(fingerprint="x", cleared=-1, ends=[], seconds=9),
            CrashWord(fingerprint="x", cleared=0, ends=[(0, "t")], seconds=9),  # type: ignore
            CrashWord(fingerprint="x", cleared=0, ends=[], seconds=0),
            CrashWord(fingerprint="x", cleared=0, ends=[(1, "t" * 999)], seconds=9),  # type: ignore
        ]
        router.exchange.hear(router.members.own, CrashNews(words=words))
        self.assertTrue(router.ledger.empty)


if __name__ == "__main__":
    unittest.main()
