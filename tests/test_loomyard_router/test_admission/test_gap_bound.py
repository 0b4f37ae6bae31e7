"""Whether an account that asks from everywhere leaves what nobody waits for to one that asks less.

Seen: two accounts far beyond their shares asked for many times what engines do. The callers of
one met 62 routers, those of the other met one; the first got 13.1 million tokens, the other 5.3.
Cause: beyond the shares, places go to whoever asks just as one is free, so who asks from more
routers gets more, whatever it got before.
"""

from __future__ import annotations

import unittest

from loomyard_router.admission.gap_bound import GAP, LeastServedGap
from loomyard_router.admission.share_messages import NO_SHARE
from test_loomyard_router.test_admission.test_share_ledger import LedgerCase

# The users' bound on what one of two backlogged accounts may get.
BOUND = 2.0
COST = 50.0
ROUNDS = 120
TICK = 0.1
# Of each tick: tries of the account that is spread, and of the one that meets one router.
SPREAD, ALONE = 12, 2
# What engines do in a tick.
PLACES = 2


class GapBoundTest(LedgerCase):
    routers = 20

    def play(self) -> dict[str, float]:
        """Let both ask all the time; return what each got."""
        got = {"spread": 0.0, "alone": 0.0}
        for tick in range(ROUNDS):
            self.clock.advance(TICK)
            asks = [("spread", number) for number in range(SPREAD)]
            asks += [("alone", 0)] * ALONE
            places = PLACES
            for turn in range(len(asks)):
                account, router = asks[(turn + 5 * tick) % len(asks)]
                ledger = self.ledgers[router]
                ledger.ask(account, COST)
                if places and not ledger.exceeds_usage_cap(account):
                    places -= 1
                    ledger.give(account, COST)
                    got[account] += COST
            self.report(rounds=1)
        return got

    def test_neither_gets_over_twice_what_the_other_gets(self) -> None:
        got = self.play()
        self.assertLessEqual(max(got.values()), BOUND * min(got.values()), got)

    def test_bound_by_the_least_served_neither_does(self) -> None:
        for ledger in self.ledgers:
            ledger._bound = LeastServedGap()
        got = self.play()
        self.assertLessEqual(max(got.values()), BOUND * min(got.values()), got)


class LeastServedGapTest(unittest.TestCase):
    def find(self, asked: dict[str, float], given: dict[str, float], reached: float) -> int:
        return LeastServedGap().find_most(asked, given, reached)

    def test_the_least_served_of_those_that_wait_bounds_all(self) -> None:
        most = self.find({"a": 900, "b": 900}, {"a": 300, "b": 140}, 200)
        self.assertEqual(round(GAP * 140), most)

    def test_who_has_what_it_asks_or_asks_little_bounds_nobody(self) -> None:
        self.assertEqual(NO_SHARE, self.find({"a": 300, "b": 100}, {"a": 290, "b": 50}, 200))

    def test_one_that_gets_nothing_leaves_the_others_most_of_what_engines_do(self) -> None:
        self.assertEqual(round(GAP * 100), self.find({"a": 900, "b": 900}, {"a": 300}, 200))


if __name__ == "__main__":
    unittest.main()
