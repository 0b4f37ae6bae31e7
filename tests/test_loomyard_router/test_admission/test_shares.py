"""Tests of fair shares of a rate."""

from __future__ import annotations

import unittest

from loomyard_router.admission.fair_share import find_water_level


class TestWaterLevel(unittest.TestCase):
    def test_who_wants_less_gets_all_and_the_others_the_same(self) -> None:
        self.assertEqual(40.0, find_water_level({"a": 20.0, "b": 90.0, "c": 500.0}, 100.0))

    def test_enough_for_all(self) -> None:
        self.assertEqual(100.0, find_water_level({"a": 20.0, "b": 30.0}, 100.0))

    def test_nobody(self) -> None:
        self.assertEqual(100.0, find_water_level({}, 100.0))


if __name__ == "__main__":
    unittest.main()
