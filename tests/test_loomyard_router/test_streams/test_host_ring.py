"""Tests of the choice of hosts for the records of streams."""

from __future__ import annotations

import unittest
from collections import Counter

from loomyard_router.members.membership import Member
from loomyard_router.streams.host_ring import HostRing

KEYS = [f"attempt-{number}" for number in range(2000)]


def make_ring(count: int, data_centres: int = 3) -> HostRing:
    ring = HostRing()
    ring.update(
        Member(name=f"r{n}", incarnation=1, address="", data_centre=f"d{n % data_centres}")
        for n in range(count)
    )
    return ring


class HostRingTest(unittest.TestCase):
    def test_hosts_are_in_different_data_centres_as_far_as_there_are_some(self) -> None:
        for data_centres, expected in ((1, 1), (2, 2), (3, 3), (5, 3)):
            ring = make_ring(20, data_centres)
            for key in KEYS[:100]:
                hosts = ring.choose(key, 3)
                self.assertEqual(3, len(set(hosts)))
                self.assertEqual(expected, len({int(h[1:]) % data_centres for h in hosts}))

    def test_a_choice_of_fewer_is_the_beginning_of_one_of_more(self) -> None:
        for data_centres in (1, 2, 3):
            ring = make_ring(9, data_centres)
            for key in KEYS[:200]:
                self.assertEqual(ring.choose(key, 3)[:2], ring.choose(key, 2))

    def test_a_fleet_smaller_than_the_choice_gives_all_routers(self) -> None:
        self.assertEqual([], make_ring(0).choose("a", 2))
        self.assertEqual(["r0"], make_ring(1).choose("a", 2))
        self.assertEqual(["r0", "r1"], sorted(make_ring(2).choose("a", 3)))

    def test_a_router_that_joins_or_leaves_moves_few_streams(self) -> None:
        for count in (7, 60):
            before, after = make_ring(count), make_ring(count + 1)
            moved = sum(set(before.choose(k, 2)) != set(after.choose(k, 2)) for k in KEYS)
            self.assertLess(moved / len(KEYS), 3 * 2 / count)

    def test_no_router_hosts_most_records(self) -> None:
        ring = make_ring(60)
        hosted = Counter(name for key in KEYS for name in ring.choose(key, 2))
        mean = 2 * len(KEYS) / 60
        self.assertEqual(60, len(hosted))
        self.assertLess(max(hosted.values()), 3 * mean)


if __name__ == "__main__":
    unittest.main()
