"""Tests of the levels that the allocator sums."""

from __future__ import annotations

import unittest

from loomyard_router.shares.levels import LINGER, FleetLevels
from loomyard_router.shares.messages import UNKNOWN_LEVEL

ACCOUNT, OTHER = b"account", b"other"
FIRST, SECOND = ("router-0", 1), ("router-1", 1)


class FleetLevelsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.levels = FleetLevels()

    def use(self, account: bytes, now: float) -> None:
        self.levels.begin_active(account, now, lift=True)
        self.levels.begin_waiting(account, now, credit=10, lift=True)

    def rest(self, account: bytes, now: float) -> None:
        self.levels.end_waiting(account, now)
        self.levels.end_active(account, now)

    def test_sums_over_routers(self) -> None:
        self.levels.report(FIRST, ACCOUNT, 100, 100)
        self.levels.report(SECOND, ACCOUNT, 50, UNKNOWN_LEVEL)
        self.levels.report(FIRST, ACCOUNT, 130, 0)
        self.assertEqual(self.levels.level(ACCOUNT), 180)
        self.assertEqual(self.levels.offset(FIRST, ACCOUNT), 50)

    def test_empty_allocator_is_rebuilt_from_what_routers_know(self) -> None:
        self.levels.report(FIRST, ACCOUNT, 100, 1000)
        self.levels.report(SECOND, ACCOUNT, 50, 990)
        self.assertEqual(self.levels.level(ACCOUNT), 1000)

    def test_restarted_router_takes_no_service_back(self) -> None:
        self.levels.report(FIRST, ACCOUNT, 100, 100)
        self.levels.report(("router-0", 2), ACCOUNT, 0, UNKNOWN_LEVEL)
        self.assertEqual(self.levels.level(ACCOUNT), 100)

    def test_estimate_that_was_too_high_is_given_back(self) -> None:
        self.levels.report(FIRST, ACCOUNT, 500, 500)
        self.levels.report(FIRST, ACCOUNT, 500, 0)
        self.levels.report(FIRST, ACCOUNT, 20, 0)
        self.assertEqual(self.levels.level(ACCOUNT), 20)

    def test_return_from_idleness_is_lifted(self) -> None:
        self.levels.report(FIRST, ACCOUNT, 100, 100)
        self.use(ACCOUNT, 0.0)
        self.rest(ACCOUNT, 1.0)
        self.levels.floor.note(900.0, 5.0)
        self.use(ACCOUNT, 1.0 + LINGER)
        self.assertEqual(self.levels.level(ACCOUNT), 900)

    def test_moment_of_idleness_costs_nothing(self) -> None:
        self.levels.report(FIRST, ACCOUNT, 100, 100)
        self.use(ACCOUNT, 0.0)
        self.rest(ACCOUNT, 1.0)
        self.levels.floor.note(900.0, 1.1)
        self.use(ACCOUNT, 1.0 + LINGER * 0.9)
        self.assertEqual(self.levels.level(ACCOUNT), 100)

    def test_return_below_what_it_had_does_not_lower(self) -> None:
        self.levels.report(FIRST, ACCOUNT, 1000, 1000)
        self.use(ACCOUNT, 0.0)
        self.rest(ACCOUNT, 1.0)
        self.levels.floor.note(400.0, 5.0)
        self.use(ACCOUNT, 9.0)
        self.assertEqual(self.levels.level(ACCOUNT), 1000)

    def test_account_that_only_runs_keeps_a_bounded_credit(self) -> None:
        self.levels.report(FIRST, ACCOUNT, 100, 100)
        self.use(ACCOUNT, 0.0)
        self.levels.end_waiting(ACCOUNT, 1.0)
        self.levels.floor.note(900.0, 5.0)
        self.levels.begin_waiting(ACCOUNT, 9.0, credit=10, lift=True)
        self.assertEqual(self.levels.level(ACCOUNT), 890)

    def test_queue_empty_on_one_router_only_costs_nothing(self) -> None:
        self.levels.report(FIRST, ACCOUNT, 100, 100)
        self.use(ACCOUNT, 0.0)
        self.use(ACCOUNT, 0.0)
        self.rest(ACCOUNT, 1.0)
        self.levels.floor.note(900.0, 5.0)
        self.use(ACCOUNT, 9.0)
        self.assertEqual(self.levels.level(ACCOUNT), 100)

    def test_sides_of_a_partition_compare_by_their_floors(self) -> None:
        self.levels.floor.note(1000.0, 0.0)
        shift = self.levels.align(400, 50.0)
        self.assertEqual(shift, 600)
        self.levels.join(SECOND, OTHER, 70, 450 + 600, 0.0)
        self.assertEqual(self.levels.level(OTHER), 1050)
        self.assertIsNone(self.levels.align(980, 50.0))
        self.assertIsNone(self.levels.align(UNKNOWN_LEVEL, 50.0))


if __name__ == "__main__":
    unittest.main()
