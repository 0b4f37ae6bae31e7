"""Tests of what client accounts got over the fleet and of their shares."""

from __future__ import annotations

import random
import unittest
from collections import Counter

from loomyard_router.admission.share_ledger import MOST_ACCOUNTS, STALE_WORD_SECONDS, ShareLedger
from loomyard_router.admission.share_messages import UsageReport
from loomyard_router.admission.share_tree import find_parent
from loomyard_router.members.membership import Member
from loomyard_standins.fake_clock import FakeClock
from loomyard_standins.memory_network import MemoryNetwork
from test_loomyard_router.test_admission.slots_case import Members

WINDOW = 4.0
RATE = 100.0


class LedgerCase(unittest.TestCase):
    """Some routers that share a rate."""

    routers = 3

    def setUp(self) -> None:
        self.clock = FakeClock()
        self.network = MemoryNetwork()
        self.rate = RATE
        self.members = [
            Member(name=f"r{n}", incarnation=1, address="", data_centre="")
            for n in range(self.routers)
        ]
        self.views = [Members(member, self.members) for member in self.members]
        self.ledgers = [
            ShareLedger(
                clock=self.clock,
                members=view,
                peers=self.network.join(view.own),
                window=WINDOW,
                rate=lambda: self.rate,
                source=random.Random(1),
            )
            for view in self.views
        ]

    def use(self, router: int, account: str, cost: float) -> None:
        self.ledgers[router].ask(account, cost)
        self.ledgers[router].give(account, cost)

    def report(self, rounds: int = 3) -> None:
        for _ in range(rounds):
            for ledger in self.ledgers:
                ledger.step()

    def beyond(self, account: str) -> set[bool]:
        return {ledger.beyond(account) for ledger in self.ledgers}


class TestShareLedger(LedgerCase):
    def test_an_account_is_judged_by_what_it_got_everywhere(self) -> None:
        for router in range(3):
            self.use(router, "large", 100.0)
            self.ledgers[router].ask("large", 900.0)
        self.use(0, "small", 150.0)
        self.assertEqual({False}, self.beyond("large"))
        self.report()
        self.assertEqual({True}, self.beyond("large"))
        self.assertEqual({False}, self.beyond("small"))
        self.assertAlmostEqual(300.0, self.ledgers[1].usage("large"), delta=2)
        # A small account asked 150 of 400 tokens, so the share is 250.
        self.assertAlmostEqual(1.2, self.ledgers[1].share_used("large"), delta=0.02)

    def test_beyond_the_stated_rate_accounts_are_measured_by_what_engines_do(self) -> None:
        # The stated rate is 400 tokens of the window; engines did 1,400.
        for account, got in (("flood", 1000.0), ("single", 300.0), ("small", 100.0)):
            self.use(0, account, got)
            self.ledgers[0].ask(account, {"flood": 9000.0, "single": 500.0}.get(account, 0.0))
        self.report()
        self.assertEqual({True}, self.beyond("flood"))
        self.assertEqual({True}, self.beyond("single"))
        self.assertEqual([True] * 3, [one.is_far_over_share("flood") for one in self.ledgers])
        self.assertEqual([False] * 3, [one.is_far_over_share("single") for one in self.ledgers])

    def test_what_was_given_since_the_last_word_counts(self) -> None:
        self.use(0, "large", 100.0)
        self.ledgers[0].ask("large", 900.0)
        self.report()
        self.assertEqual({False}, self.beyond("large"))
        self.use(0, "large", 301.0)
        self.assertTrue(self.ledgers[0].beyond("large"))

    def test_a_report_that_was_lost_is_made_good_by_the_next(self) -> None:
        self.report()
        self.network.cut({"r0"}, {"r1", "r2"})
        self.network.cut({"r1"}, {"r2"})
        for router in range(3):
            self.use(router, "large", 200.0)
        self.report(1)
        for ledger in self.ledgers:
            self.assertGreaterEqual(ledger.usage("large"), 199.0)
        self.network.heal()
        self.report()
        for ledger in self.ledgers:
            self.assertAlmostEqual(600.0, ledger.usage("large"), delta=3)

    def test_after_its_window_an_account_is_within_again(self) -> None:
        for router in range(3):
            self.use(router, "large", 200.0)
        self.report()
        self.assertEqual({True}, self.beyond("large"))
        for _ in range(9):
            self.clock.advance(1.0)
            self.report()
        self.assertEqual({False}, self.beyond("large"))

    def test_without_a_stated_rate_nobody_is_beyond(self) -> None:
        self.rate = 0.0
        self.use(0, "large", 1e9)
        self.report()
        self.assertEqual({False}, self.beyond("large"))
        self.assertIsNone(self.ledgers[0].share_used("large"))

    def test_a_demand_that_can_be_met_is_within(self) -> None:
        for router in range(3):
            self.use(router, "large", 130.0)
        self.report()
        self.assertEqual({False}, self.beyond("large"))

    def test_a_router_that_hears_nothing_judges_nobody(self) -> None:
        for router in range(3):
            self.use(router, "large", 200.0)
        self.report()
        for name in ("r0", "r1", "r2"):
            self.network.leave(name)
        self.clock.advance(STALE_WORD_SECONDS + 0.1)
        below = [one for one in self.ledgers if one.usage("large") > 0 and not self.is_top(one)]
        for ledger in below:
            ledger.step()
        self.assertEqual([False, False], [ledger.beyond("large") for ledger in below])

    def test_a_new_router_at_the_top_knows_all_after_one_round(self) -> None:
        for router in range(3):
            self.use(router, "large", 200.0)
        self.report()
        top = next(n for n, one in enumerate(self.ledgers) if self.is_top(one))
        left = [member for n, member in enumerate(self.members) if n != top]
        self.network.leave(f"r{top}")
        for view in self.views:
            view.change(left)
        rest = [ledger for n, ledger in enumerate(self.ledgers) if n != top]
        for ledger in rest + rest:
            ledger.step()
        for ledger in rest:
            self.assertAlmostEqual(400.0, ledger.usage("large"), delta=2)
            self.assertFalse(ledger.beyond("large"))

    def test_routers_that_report_to_each_other_count_nothing_twice(self) -> None:
        self.use(0, "large", 100.0)
        self.use(1, "large", 100.0)
        # Views differ in a way that makes each of two routers the top of the other.
        names = {name: find_parent(name, ["r0", "r1", "r2"]) for name in ("r0", "r1", "r2")}
        top = next(name for name, parent in names.items() if parent is None)
        for ledger in self.ledgers:
            ledger._parent = ledger._parent or next(n for n in names if n != top)
        self.report(8)
        for ledger in self.ledgers:
            self.assertLessEqual(ledger.usage("large"), 203.0)

    def test_a_report_is_bounded(self) -> None:
        below = next(one for one in self.ledgers if not self.is_top(one))
        for number in range(MOST_ACCOUNTS + 50):
            below.ask(f"a{number}", 10.0 + number)
        reports: list[UsageReport] = []
        for ledger in self.ledgers:
            take = ledger.take_report
            ledger._peers.handle(
                UsageReport, lambda m, r, take=take: (reports.append(r), take(m, r))[1]
            )
        below.step()
        self.assertEqual(MOST_ACCOUNTS, len(reports[0].asked))
        self.assertIn(f"a{MOST_ACCOUNTS + 49}", reports[0].asked)

    def is_top(self, ledger: ShareLedger) -> bool:
        return ledger._parent is None


class TestShareTree(LedgerCase):
    routers = 60

    def test_all_routers_of_a_large_fleet_hear_the_same(self) -> None:
        for router in range(self.routers):
            self.use(router, "large", 10.0)
            self.ledgers[router].ask("large", 100.0)
        self.report(4)
        for ledger in self.ledgers:
            self.assertAlmostEqual(600.0, ledger.usage("large"), delta=self.routers)
        self.assertEqual({True}, self.beyond("large"))

    def test_nobody_hears_much_more_than_the_root_of_the_fleet(self) -> None:
        for size, most in ((10, 9), (60, 20), (360, 45)):
            names = [f"r{n}" for n in range(size)]
            parents = Counter(find_parent(name, names) for name in names)
            self.assertEqual(1, parents.pop(None))
            self.assertLessEqual(max(parents.values()), most)

    def test_a_router_that_joins_moves_few_others(self) -> None:
        names = [f"r{n}" for n in range(59)]
        before = {name: find_parent(name, names) for name in names}
        after = {name: find_parent(name, [*names, "r59"]) for name in names}
        self.assertLessEqual(sum(before[name] != after[name] for name in names), 20)


if __name__ == "__main__":
    unittest.main()
