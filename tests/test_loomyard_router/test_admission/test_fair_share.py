"""Tests of the max-min fair share."""

from __future__ import annotations

import unittest

from loomyard_router.admission.fair_share import find_max_min_share


class TestMaxMinShare(unittest.TestCase):
    def test_a_small_demand_is_met_and_larger_ones_get_equal_shares(self) -> None:
        self.assertEqual(40.0, find_max_min_share({"a": 20.0, "b": 90.0, "c": 500.0}, 100.0))

    def test_with_enough_capacity_the_share_is_all_of_it(self) -> None:
        self.assertEqual(100.0, find_max_min_share({"a": 20.0, "b": 30.0}, 100.0))

    def test_without_demand_the_share_is_all_of_the_capacity(self) -> None:
        self.assertEqual(100.0, find_max_min_share({}, 100.0))


if __name__ == "__main__":
    unittest.main()
