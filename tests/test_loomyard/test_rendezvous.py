"""Tests of rendezvous hashing."""

from __future__ import annotations

import unittest

from loomyard.rendezvous import choose, rank, rank_weighted

NAMES = [f"router-{number}" for number in range(8)]
KEYS = [f"account-{number}" for number in range(400)]


class RendezvousTest(unittest.TestCase):
    def test_the_order_of_names_does_not_matter(self) -> None:
        for key in KEYS:
            self.assertEqual(choose(key, NAMES), choose(key, reversed(NAMES)))
            self.assertEqual(rank(key, NAMES)[0], choose(key, NAMES))

    def test_only_keys_of_a_removed_name_move(self) -> None:
        for key in KEYS:
            before = choose(key, NAMES)
            after = choose(key, [name for name in NAMES if name != "router-3"])
            self.assertEqual(after, before if before != "router-3" else rank(key, NAMES)[1])

    def test_keys_are_spread_evenly(self) -> None:
        counts = [sum(choose(key, NAMES) == name for key in KEYS) for name in NAMES]
        self.assertGreater(min(counts), 400 / 8 / 2)
        self.assertLess(max(counts), 400 / 8 * 2)

    def test_a_name_comes_first_in_proportion_to_its_weight(self) -> None:
        weights = dict.fromkeys(NAMES, 1.0) | {"router-3": 4.0}
        first = [rank_weighted(key, weights)[0] for key in KEYS]
        expected = len(KEYS) * 4 / 11
        self.assertAlmostEqual(expected, first.count("router-3"), delta=expected / 4)

    def test_a_higher_weight_moves_keys_only_to_that_name(self) -> None:
        before = dict.fromkeys(NAMES, 1.0)
        after = before | {"router-3": 1.5}
        for key in KEYS:
            first = rank_weighted(key, after)[0]
            self.assertIn(first, (rank_weighted(key, before)[0], "router-3"))


if __name__ == "__main__":
    unittest.main()
