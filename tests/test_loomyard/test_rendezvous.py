"""Tests of rendezvous hashing."""

from __future__ import annotations

import unittest

from loomyard.rendezvous import choose, rank

NAMES = [f"router-{number}" for number in range(8)]
KEYS = [f"account-{number}" for number in range(400)]


class RendezvousTest(unittest.TestCase):
    def test_the_order_of_names_does_not_matter(self) -> None:
        for key in KEYS:
            self.assertEqual(choose(key, NAMES), choose(key, reversed(NAMES)))
            self.assertEqual(rank(key, NAMES)[0], choose(key, NAMES))

    def test_only_keys_of_a_lost_name_move(self) -> None:
        for key in KEYS:
            before = choose(key, NAMES)
            after = choose(key, [name for name in NAMES if name != "router-3"])
            self.assertEqual(after, before if before != "router-3" else rank(key, NAMES)[1])

    def test_spreads_evenly(self) -> None:
        counts = [sum(choose(key, NAMES) == name for key in KEYS) for name in NAMES]
        self.assertGreater(min(counts), 400 / 8 / 2)
        self.assertLess(max(counts), 400 / 8 * 2)


if __name__ == "__main__":
    unittest.main()
