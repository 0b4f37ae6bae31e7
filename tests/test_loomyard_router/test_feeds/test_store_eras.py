"""How long after the store came back from an older copy the last router has what is written next.

Seen: the store was away for a second and came back from a copy three seconds old; the records that
it lacked were written again in another order. The next version of the configuration came into force
at none of 5 and at none of 14 routers, without a log line.
Cause: an offset alone named a place in a feed. Offsets are given out again after a loss, so routers
read on from a place beyond which other records stand now, and took peers that had read further in
the time before for those to hear from.
"""

from __future__ import annotations

import random
import unittest

from loomyard_standins.memory_store import Outage
from test_loomyard_router.test_feeds.feed_fleet import FEEDS, FeedFleet

# From the acknowledgement, or the return of the store where that is later, to the last router: the
# users' bound on a configuration.
BOUND = 3.0
COPY_AGE = 3.0
AWAY = 1.0
# Records beyond those that were lost, so that the log ends beyond its old end.
MORE = 4


class StoreErasTest(unittest.TestCase):
    def start(self, count: int, *, seed: int = 1) -> FeedFleet:
        fleet = FeedFleet(count, seed=seed)
        self.addCleanup(fleet.stop)
        return fleet

    def write_some(self, fleet: FeedFleet) -> None:
        """Write what a copy three seconds old has, and what it lacks."""
        for number in range(6):
            for store in fleet.stores.values():
                store.publish(f"key-{number}", f"before {number}".encode())
            fleet.run(0.7)

    def lose(
        self,
        fleet: FeedFleet,
        outage: Outage,
        *,
        more: int = MORE,
        value: bytes = b"next",
        cut: bool = False,
    ) -> float:
        """Let the store fall back while it is away; return the time of its return.

        The next value is written first, so that it stands below the old end of the log; then what
        the copy lacks, in another order, and more.
        """
        source = random.Random(1)
        for store in fleet.stores.values():
            store.fail(fleet.routers, outage)
        fleet.run(AWAY)
        for store in fleet.stores.values():
            lost = store.fall_back(COPY_AGE)
            store.publish("key", value)
            source.shuffle(lost)
            for record in lost:
                if record.key != "key":
                    store.publish(record.key, record.value)
            for number in range(more):
                store.publish(f"more-{number}", b"more")
        for store in fleet.stores.values():
            if cut:
                store.cut_short()
            store.heal()
        return fleet.clock.now()

    def last_of(self, fleet: FeedFleet, value: bytes, since: float) -> float:
        """Return the seconds from a time to the arrival of a value at the last router."""
        fleet.run(2 * BOUND)
        return max(fleet.last_arrival(feed, value) - since for feed in FEEDS)

    def check(self, count: int, outage: Outage, *, more: int = MORE, cut: bool = False) -> None:
        fleet = self.start(count)
        self.write_some(fleet)
        back_at = self.lose(fleet, outage, more=more, cut=cut)
        self.assertLessEqual(self.last_of(fleet, b"next", back_at), BOUND)

    def test_the_next_version_reaches_seven_routers_after_each_kind_of_outage(self) -> None:
        for outage in Outage:
            for more in (0, MORE):
                with self.subTest(outage=outage, more=more):
                    self.check(7, outage, more=more)

    def test_the_next_version_reaches_a_fleet_in_which_some_read(self) -> None:
        for count in (19, 60, 200):
            with self.subTest(count=count):
                self.check(count, Outage.RESET)

    def test_a_log_that_is_cut_short_in_the_same_moment_holds_nothing_up(self) -> None:
        # Its first record stands below, at or above the place where routers read on.
        for count, more in ((7, 0), (7, MORE), (7, 4 * MORE), (60, MORE)):
            with self.subTest(count=count, more=more):
                self.check(count, Outage.RESET, more=more, cut=True)

    def test_routers_that_the_store_still_fails_hear_of_its_new_era_from_the_others(self) -> None:
        for count, outage in ((7, Outage.SILENT), (7, Outage.BUSY), (19, Outage.SILENT)):
            with self.subTest(count=count, outage=outage):
                fleet = self.start(count)
                self.write_some(fleet)
                back_at = self.lose(fleet, Outage.RESET)
                for store in fleet.stores.values():
                    store.fail(list(fleet.routers)[: count // 2], outage)
                self.assertLessEqual(self.last_of(fleet, b"next", back_at), BOUND)

    def test_two_and_three_losses_within_seconds_hold_nothing_up(self) -> None:
        for losses in (2, 3):
            with self.subTest(losses=losses):
                fleet = self.start(19)
                self.write_some(fleet)
                back_at = 0.0
                for number in range(losses):
                    back_at = self.lose(fleet, Outage.BUSY, more=MORE + number)
                    fleet.run(0.3)
                self.assertLessEqual(self.last_of(fleet, b"next", back_at), BOUND)


if __name__ == "__main__":
    unittest.main()
