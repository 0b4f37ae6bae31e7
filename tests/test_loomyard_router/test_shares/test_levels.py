"""Tests of the account levels that the allocator keeps."""

from __future__ import annotations

import unittest

from loomyard_router.shares.levels import IDLE_TIMEOUT, FleetLevels
from loomyard_router.shares.messages import UNKNOWN_LEVEL

ACCOUNT, OTHER = b"account", b"other"
FIRST, SECOND = ("router-0", 1), ("router-1", 1)


class FleetLevelsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.levels = FleetLevels()

    def begin(self, account: bytes, now: float) -> None:
        self.levels.begin_active(account, now, lift=True)
        self.levels.begin_waiting(account, now, credit=10, lift=True)

    def end(self, account: bytes, now: float) -> None:
        self.levels.end_waiting(account, now)
        self.levels.end_active(account, now)

    def test_service_is_summed_over_routers(self) -> None:
        self.levels.report(FIRST, ACCOUNT, 100, 100)
        self.levels.report(SECOND, ACCOUNT, 50, UNKNOWN_LEVEL)
        self.levels.report(FIRST, ACCOUNT, 130, 0)
        self.assertEqual(self.levels.level(ACCOUNT), 180)
        self.assertEqual(self.levels.offset(FIRST, ACCOUNT), 50)

    def test_new_allocator_is_rebuilt_from_levels_known_to_routers(self) -> None:
        self.levels.report(FIRST, ACCOUNT, 100, 1000)
        self.levels.report(SECOND, ACCOUNT, 50, 990)
        self.assertEqual(self.levels.level(ACCOUNT), 1000)

    def test_restart_of_a_router_does_not_lower_a_level(self) -> None:
        self.levels.report(FIRST, ACCOUNT, 100, 100)
        self.levels.report(("router-0", 2), ACCOUNT, 0, UNKNOWN_LEVEL)
        self.assertEqual(self.levels.level(ACCOUNT), 100)

    def test_correction_of_a_high_estimate_lowers_the_level(self) -> None:
        self.levels.report(FIRST, ACCOUNT, 500, 500)
        self.levels.report(FIRST, ACCOUNT, 500, 0)
        self.levels.report(FIRST, ACCOUNT, 20, 0)
        self.assertEqual(self.levels.level(ACCOUNT), 20)

    def test_account_that_returns_from_idleness_is_lifted(self) -> None:
        self.levels.report(FIRST, ACCOUNT, 100, 100)
        self.begin(ACCOUNT, 0.0)
        self.end(ACCOUNT, 1.0)
        self.levels.min_level.update(900.0, 5.0)
        self.begin(ACCOUNT, 1.0 + IDLE_TIMEOUT)
        self.assertEqual(self.levels.level(ACCOUNT), 900)

    def test_account_is_not_lifted_after_less_than_the_idle_timeout(self) -> None:
        self.levels.report(FIRST, ACCOUNT, 100, 100)
        self.begin(ACCOUNT, 0.0)
        self.end(ACCOUNT, 1.0)
        self.levels.min_level.update(900.0, 1.1)
        self.begin(ACCOUNT, 1.0 + IDLE_TIMEOUT * 0.9)
        self.assertEqual(self.levels.level(ACCOUNT), 100)

    def test_lift_does_not_lower_a_level_above_the_minimum(self) -> None:
        self.levels.report(FIRST, ACCOUNT, 1000, 1000)
        self.begin(ACCOUNT, 0.0)
        self.end(ACCOUNT, 1.0)
        self.levels.min_level.update(400.0, 5.0)
        self.begin(ACCOUNT, 9.0)
        self.assertEqual(self.levels.level(ACCOUNT), 1000)

    def test_account_with_only_running_requests_keeps_a_bounded_credit(self) -> None:
        self.levels.report(FIRST, ACCOUNT, 100, 100)
        self.begin(ACCOUNT, 0.0)
        self.levels.end_waiting(ACCOUNT, 1.0)
        self.levels.min_level.update(900.0, 5.0)
        self.levels.begin_waiting(ACCOUNT, 9.0, credit=10, lift=True)
        self.assertEqual(self.levels.level(ACCOUNT), 890)

    def test_account_idle_at_one_of_two_routers_is_not_lifted(self) -> None:
        self.levels.report(FIRST, ACCOUNT, 100, 100)
        self.begin(ACCOUNT, 0.0)
        self.begin(ACCOUNT, 0.0)
        self.end(ACCOUNT, 1.0)
        self.levels.min_level.update(900.0, 5.0)
        self.begin(ACCOUNT, 9.0)
        self.assertEqual(self.levels.level(ACCOUNT), 100)

    def test_levels_of_partition_sides_are_aligned_by_their_minimum_levels(self) -> None:
        self.levels.min_level.update(1000.0, 0.0)
        shift = self.levels.shift_from(400, 50.0)
        self.assertEqual(shift, 600)
        self.levels.merge_account(SECOND, OTHER, 70, 450 + 600, 0.0)
        self.assertEqual(self.levels.level(OTHER), 1050)
        self.assertIsNone(self.levels.shift_from(980, 50.0))
        self.assertIsNone(self.levels.shift_from(UNKNOWN_LEVEL, 50.0))


if __name__ == "__main__":
    unittest.main()
