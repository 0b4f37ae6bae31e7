"""Tests of what is concluded from the ends of targets."""

from __future__ import annotations

import itertools
import random
import unittest

from loomyard_router.announced.target_incarnation import TargetIncarnation
from loomyard_router.crashes.crash_ledger import (
    BLOCK_SECONDS,
    BLOCKING_LEVEL,
    FORGET_SECONDS,
    MOST_ENDS,
    MOST_RECORDS,
    SETTLE_SECONDS,
    CrashLedger,
)
from loomyard_router.crashes.crash_record import CrashRecord
from loomyard_standins.fake_clock import FakeClock

GUILTY = "guilty"
BESIDE = "beside"


class CrashLedgerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock()
        self.ledger = CrashLedger(self.clock)

    def end(self, life: str, *fingerprints: str) -> None:
        """Let a target end under requests that were sent with what is known now."""
        ranks = {one: self.ledger.next_rank(one) for one in fingerprints}
        for fingerprint, rank in ranks.items():
            self.ledger.note_end(fingerprint, rank, TargetIncarnation(life))

    def block(self, fingerprint: str = GUILTY) -> None:
        for number in range(BLOCKING_LEVEL):
            self.end(f"{fingerprint}-{number}", fingerprint)

    def test_a_request_is_refused_after_three_ends_one_after_the_other(self) -> None:
        for number in range(BLOCKING_LEVEL):
            self.assertIsNone(self.ledger.blocked_until(GUILTY))
            self.end(f"t{number}", GUILTY)
        self.assertEqual(BLOCK_SECONDS, self.ledger.blocked_until(GUILTY))

    def test_copies_that_ran_at_once_count_once(self) -> None:
        # A rack is lost: targets end together, and the same request ran at each of them.
        for number in range(2 * BLOCKING_LEVEL):
            self.ledger.note_end(GUILTY, 1, TargetIncarnation(f"t{number}"))
        self.assertEqual(1, self.ledger.level(GUILTY))

    def test_a_request_that_ran_to_its_end_begins_anew(self) -> None:
        self.end("t0", BESIDE)
        self.end("t1", BESIDE)
        self.ledger.clear(BESIDE)
        self.assertEqual(0, self.ledger.level(BESIDE))
        self.end("t2", BESIDE)
        self.assertEqual(1, self.ledger.level(BESIDE))

    def test_ends_under_a_request_that_is_known_for_them_are_nobody_elses(self) -> None:
        self.end("t0", GUILTY, BESIDE)
        self.end("t1", GUILTY, BESIDE)
        self.assertEqual(2, self.ledger.level(BESIDE))
        self.end("t2", GUILTY)
        self.assertEqual(0, self.ledger.level(BESIDE))
        self.clock.advance(SETTLE_SECONDS)
        self.ledger.expire()
        self.end("t3", BESIDE)
        self.assertEqual(1, self.ledger.level(BESIDE))

    def test_who_ran_at_all_ends_but_one_is_known_by_that_one(self) -> None:
        for number in range(BLOCKING_LEVEL):
            self.end(f"t{number}", GUILTY, BESIDE)
        # Both ran at the same ends, so nothing tells them apart yet.
        self.assertIsNotNone(self.ledger.blocked_until(BESIDE))
        self.end("t9", GUILTY)
        self.assertIsNone(self.ledger.blocked_until(BESIDE))
        self.assertEqual(0, self.ledger.level(BESIDE))
        self.assertIsNotNone(self.ledger.blocked_until(GUILTY))

    def test_an_end_that_was_explained_counts_no_more_when_others_come_to_it(self) -> None:
        self.end("t0", GUILTY, BESIDE)
        self.end("t1", GUILTY, BESIDE)
        self.end("t2", GUILTY)
        self.clock.advance(SETTLE_SECONDS)
        self.ledger.expire()
        self.end("t3", BESIDE)
        self.end("t4", BESIDE)
        self.assertEqual(2, self.ledger.level(BESIDE))

    def test_after_the_block_one_more_end_is_enough_for_the_next(self) -> None:
        self.block()
        self.clock.advance(BLOCK_SECONDS + 1.0)
        self.assertIsNone(self.ledger.blocked_until(GUILTY))
        self.end("t9", GUILTY)
        self.assertIsNotNone(self.ledger.blocked_until(GUILTY))

    def test_a_record_is_forgotten(self) -> None:
        self.block()
        self.clock.advance(FORGET_SECONDS + 1.0)
        self.assertEqual([], self.ledger.records())
        self.assertTrue(self.ledger.empty)
        self.assertEqual(0, self.ledger.level(GUILTY))

    def test_memory_is_bounded_and_keeps_who_is_refused(self) -> None:
        self.block()
        for number in range(MOST_RECORDS + 100):
            self.end(f"x{number}", f"request-{number}")
        self.assertEqual(MOST_RECORDS, len(self.ledger.records()))
        self.assertIsNotNone(self.ledger.blocked_until(GUILTY))
        for number in range(3 * MOST_ENDS):
            self.end(f"y{number}", GUILTY)
        kept = next(one for one in self.ledger.records() if one.fingerprint == GUILTY)
        self.assertLessEqual(len(kept.ends), MOST_ENDS)
        self.assertIsNotNone(self.ledger.blocked_until(GUILTY))

    def test_routers_that_heard_the_same_in_any_order_and_twice_know_the_same(self) -> None:
        for seed in range(10):
            with self.subTest(seed=seed):
                self.assertEqual(1, len(self.digests_of_all_orders(random.Random(seed))))

    def digests_of_all_orders(self, source: random.Random) -> set[int]:
        words = [
            CrashRecord(
                fingerprint=f"request-{source.randrange(2)}",
                until=1000.0,
                cleared=source.choice((0, 0, 0, 1)),
                ends={source.randrange(1, 4): TargetIncarnation(f"t{source.randrange(4)}")},
            )
            for _ in range(5)
        ]
        digests = set()
        for order in itertools.permutations(words):
            ledger = CrashLedger(self.clock)
            for word in (*order, *reversed(order)):
                ledger.join(word)
            digests.add(ledger.digest)
        return digests


if __name__ == "__main__":
    unittest.main()
