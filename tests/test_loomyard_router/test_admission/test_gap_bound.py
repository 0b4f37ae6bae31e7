"""Tests that the usage of two backlogged accounts differs by no more than the bound of users.

Guards against this: two accounts far over their shares ask for many times the capacity, one through
62 routers and one through a single one, and the first gets 13.1 million tokens beside 5.3. Over the
shares a free slot goes to the request that comes just then, whatever the usage of its account, so
an account that asks through more routers gets more.
"""

from __future__ import annotations

import unittest

from loomyard_router.admission.gap_bound import MAX_RATIO, LeastServedBound
from loomyard_router.admission.share_messages import NO_SHARE
from test_loomyard_router.test_admission.test_share_ledger import LedgerCase

# The users' bound on the ratio of the usage of two backlogged accounts.
BOUND = 2.0
COST = 50.0
ROUNDS = 120
TICK = 0.1
# Requests in each tick: of the account that uses all routers, and of the one that uses one.
SPREAD, ALONE = 12, 2
# Requests that engines serve in a tick.
SLOTS = 2


class GapBoundTest(LedgerCase):
    routers = 20

    def play(self) -> dict[str, float]:
        """Let both accounts send requests all the time; return the usage of each."""
        usage = {"spread": 0.0, "alone": 0.0}
        for tick in range(ROUNDS):
            self.clock.advance(TICK)
            requests = [("spread", number) for number in range(SPREAD)]
            requests += [("alone", 0)] * ALONE
            free = SLOTS
            for turn in range(len(requests)):
                account, router = requests[(turn + 5 * tick) % len(requests)]
                ledger = self.ledgers[router]
                ledger.record_demand(account, COST)
                if free and not ledger.exceeds_usage_cap(account):
                    free -= 1
                    ledger.record_usage(account, COST)
                    usage[account] += COST
            self.report(rounds=1)
        return usage

    def test_neither_gets_over_twice_what_the_other_gets(self) -> None:
        usage = self.play()
        self.assertLessEqual(max(usage.values()), BOUND * min(usage.values()), usage)

    def test_with_the_least_served_bound_the_ratio_is_kept(self) -> None:
        for ledger in self.ledgers:
            ledger._bound = LeastServedBound()
        usage = self.play()
        self.assertLessEqual(max(usage.values()), BOUND * min(usage.values()), usage)


class LeastServedBoundTest(unittest.TestCase):
    def find(self, demand: dict[str, float], usage: dict[str, float], served_share: float) -> int:
        return LeastServedBound().find_cap(demand, usage, served_share)

    def test_the_least_usage_of_a_backlogged_account_sets_the_cap(self) -> None:
        cap = self.find({"a": 900, "b": 900}, {"a": 300, "b": 140}, 200)
        self.assertEqual(round(MAX_RATIO * 140), cap)

    def test_accounts_with_met_or_small_demand_set_no_cap(self) -> None:
        self.assertEqual(NO_SHARE, self.find({"a": 300, "b": 100}, {"a": 290, "b": 50}, 200))

    def test_an_account_without_usage_leaves_others_half_of_the_served_share(self) -> None:
        self.assertEqual(round(MAX_RATIO * 100), self.find({"a": 900, "b": 900}, {"a": 300}, 200))


if __name__ == "__main__":
    unittest.main()
