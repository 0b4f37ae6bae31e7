"""Tests of the prefix index."""

from __future__ import annotations

import unittest

from loomyard.external.engine import CacheEvent
from loomyard_router.targets.prefix_index import (
    ENTRY_SECONDS,
    FRESH_SECONDS,
    MAX_ENTRIES_PER_TARGET,
    PrefixIndex,
)
from loomyard_standins.engine_cache import PrefixCache
from loomyard_standins.fake_clock import FakeClock


class PrefixIndexTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock()
        self.index = PrefixIndex(self.clock)
        self.cache = PrefixCache(capacity=2)

    def pull(self) -> bool:
        return self.index.apply_events("a", self.cache.events_after(self.index.sequence("a")))

    def held(self) -> str:
        return "".join(prefix for prefix in "pqrs" if self.index.holds("a", prefix))

    def test_events_without_gaps_give_the_cached_prefixes(self) -> None:
        for prefix in "pqr":
            self.cache.touch(prefix)
        self.assertTrue(self.pull())
        self.assertEqual(self.held(), "qr")

    def test_a_gap_drops_all_but_recent_entries(self) -> None:
        self.cache.touch("p")
        self.cache.touch("q")
        self.pull()
        self.clock.advance(FRESH_SECONDS + 1)
        self.index.record("a", "s")
        self.cache.lose_events = 2
        self.cache.touch("r")
        self.cache.touch("p")
        self.assertFalse(self.pull())
        self.assertEqual(self.held(), "ps")
        self.assertTrue(self.pull())

    def test_a_restart_of_the_event_sequence_counts_as_a_gap(self) -> None:
        for prefix in "pqrp":
            self.cache.touch(prefix)
        self.pull()
        self.clock.advance(FRESH_SECONDS + 1)
        self.cache.clear()
        self.cache.touch("s")
        self.assertFalse(self.pull())
        self.assertEqual(self.held(), "s")

    def test_entries_are_bounded_and_expire(self) -> None:
        for number in range(MAX_ENTRIES_PER_TARGET + 1):
            self.index.record("a", f"prefix-{number}")
        self.assertFalse(self.index.holds("a", "prefix-0"))
        self.assertTrue(self.index.holds("a", "prefix-1"))
        self.clock.advance(ENTRY_SECONDS)
        self.assertFalse(self.index.holds("a", "prefix-1"))


class CacheEventOrderTest(unittest.TestCase):
    def test_events_out_of_order_count_as_a_gap(self) -> None:
        index = PrefixIndex(FakeClock())
        events = [CacheEvent(sequence=n, prefix="p", stored=True) for n in (1, 3, 2)]
        self.assertFalse(index.apply_events("a", events))


if __name__ == "__main__":
    unittest.main()
