"""How long after an outage of the store the last router has what was acknowledged.

Guards against routers that mistake an outage for a quiet feed. A read that begins before or during
the outage is never answered, also after the store's return; with long reads a router waited up to
15 s for it. Routers that noticed the outage by their other feed told neither their peers nor their
own reads, so that one of seven lacked an acknowledged route seconds after the store's return.
"""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from loomyard_router.feeds.feed_readers import choose_readers
from loomyard_standins.memory_store import Outage
from test_loomyard_router.test_feeds.feed_fleet import FEEDS, FeedFleet

if TYPE_CHECKING:
    from collections.abc import Iterable

# Seconds from the return of the store, or from the acknowledgement if that is later, to the last
# router. Users expect every router to have what was acknowledged 3 s after the store's return.
BOUND = 2.5
# Seconds from the last change before the outage to the outage; reads begin up to 0.5 s later.
LEADS = (0.0, 0.1, 0.3, 0.45, 0.8)
OUTAGE = 6.2
# Seconds after the return at which changes are acknowledged.
CHANGES = (0.1, 0.2, 0.8, 2.0)


class StoreOutageTest(unittest.TestCase):
    def start(self, count: int, *, seed: int = 1) -> FeedFleet:
        fleet = FeedFleet(count, seed=seed)
        self.addCleanup(fleet.stop)
        return fleet

    def longest_after_outage(
        self, fleet: FeedFleet, outage: Outage, lead: float, routers: Iterable[str]
    ) -> float:
        """Return the most seconds until all routers have a change made after an outage."""
        self.begin_outage(fleet, outage, lead, routers)
        fleet.run(OUTAGE)
        for store in fleet.stores.values():
            store.heal()
        return self.longest_of_changes(fleet)

    def begin_outage(
        self, fleet: FeedFleet, outage: Outage, lead: float, routers: Iterable[str]
    ) -> None:
        for store in fleet.stores.values():
            store.publish("key", b"before")
        fleet.run(lead)
        for store in fleet.stores.values():
            store.fail(routers, outage)

    def longest_of_changes(self, fleet: FeedFleet) -> float:
        """Make changes; return the most seconds until all routers have one of them."""
        began = fleet.clock.now()
        acked: dict[bytes, float] = {}
        for change in CHANGES:
            fleet.run(began + change - fleet.clock.now())
            value = f"after {change} s".encode()
            for store in fleet.stores.values():
                acked[value] = store.publish("key", value)
        fleet.run(3 * BOUND)
        # A newer change replaces this one, so its arrival counts as well.
        return max(
            min(fleet.last_arrival(feed, later) for later in acked if acked[later] >= at) - at
            for feed in FEEDS
            for at in acked.values()
        )

    def test_changes_after_an_outage_reach_all_routers_in_time(self) -> None:
        for outage in Outage:
            for lead in LEADS:
                with self.subTest(outage=outage, lead=lead):
                    fleet = self.start(7)
                    last = self.longest_after_outage(fleet, outage, lead, fleet.routers)
                    self.assertLessEqual(last, BOUND)

    def test_changes_reach_routers_that_lack_the_store_in_time(self) -> None:
        for outage in Outage:
            for lead in LEADS:
                for without in (1, 3, 6):
                    with self.subTest(outage=outage, lead=lead, without=without):
                        fleet = self.start(7)
                        self.begin_outage(fleet, outage, lead, list(fleet.routers)[:without])
                        self.assertLessEqual(self.longest_of_changes(fleet), BOUND)

    def test_connections_that_stop_answering_keep_the_bound(self) -> None:
        fleet = self.start(7)
        for store in fleet.stores.values():
            store.hang_connections()
        self.assertLessEqual(self.longest_of_changes(fleet), BOUND)

    def test_a_fleet_with_few_readers_keeps_the_bound(self) -> None:
        for outage in (Outage.SILENT, Outage.BUSY):
            with self.subTest(outage=outage, without="all"):
                fleet = self.start(24)
                last = self.longest_after_outage(fleet, outage, 0.3, fleet.routers)
                self.assertLessEqual(last, BOUND)
            with self.subTest(outage=outage, without="a third"):
                fleet = self.start(24)
                self.begin_outage(fleet, outage, 0.3, list(fleet.routers)[:8])
                self.assertLessEqual(self.longest_of_changes(fleet), BOUND)

    def longest_without_readers(self, count: int, outage: Outage, *, seed: int = 1) -> float:
        """Return the most seconds until all routers have a change where no reader has the store."""
        fleet = self.start(count, seed=seed)
        names = list(fleet.routers)
        readers = {one for feed in FEEDS for one in choose_readers(feed, names)}
        self.begin_outage(fleet, outage, 0.3, readers)
        return self.longest_of_changes(fleet)

    def test_a_large_fleet_whose_readers_all_lack_the_store_keeps_the_bound(self) -> None:
        for outage in (Outage.SILENT, Outage.BUSY):
            with self.subTest(outage=outage):
                self.assertLessEqual(self.longest_without_readers(60, outage), BOUND)

    def test_a_small_fleet_whose_readers_all_lack_the_store_keeps_the_bound(self) -> None:
        # Most of its routers read one feed or the other, so few have the store at all.
        for outage in (Outage.SILENT, Outage.BUSY):
            with self.subTest(outage=outage):
                self.assertLessEqual(self.longest_without_readers(19, outage), BOUND)

    def test_fleets_of_other_sizes_whose_readers_all_lack_the_store_keep_the_bound(self) -> None:
        for count, seed in ((11, 1), (12, 2), (19, 2), (19, 3), (24, 1), (30, 3)):
            with self.subTest(count=count, seed=seed):
                self.assertLessEqual(
                    self.longest_without_readers(count, Outage.SILENT, seed=seed), BOUND
                )

    def test_a_quiet_feed_costs_about_a_call_a_second(self) -> None:
        fleet = self.start(7)
        before = fleet.calls
        fleet.run(30.0)
        self.assertLessEqual((fleet.calls - before) / (30.0 * 7 * len(FEEDS)), 1.1)


if __name__ == "__main__":
    unittest.main()
