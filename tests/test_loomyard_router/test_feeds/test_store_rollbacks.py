"""How long after a rollback of the store the last router has what is written next.

Guards against a position that is an offset alone. A store that comes back from an older copy
assigns offsets again, and writers write the lost records again in another order. Routers that
compared offsets read on from an offset beyond which other records stood and preferred peers that
had read further before the rollback, so the next configuration came into force at no router.
"""

from __future__ import annotations

import random
import unittest

from loomyard_standins.memory_store import Outage
from test_loomyard_router.test_feeds.feed_fleet import FEEDS, FeedFleet

# Seconds from the acknowledgement, or from the return of the store if that is later, to the last
# router: the time in which users expect a configuration to be in force.
BOUND = 3.0
COPY_AGE = 3.0
AWAY = 1.0
# Records written besides the lost ones, so that the log ends beyond its old end.
MORE = 4


class StoreRollbackTest(unittest.TestCase):
    def start(self, count: int, *, seed: int = 1) -> FeedFleet:
        fleet = FeedFleet(count, seed=seed)
        self.addCleanup(fleet.stop)
        return fleet

    def write_some(self, fleet: FeedFleet) -> None:
        """Write records of which a copy three seconds old has some and lacks others."""
        for number in range(6):
            for store in fleet.stores.values():
                store.publish(f"key-{number}", f"before {number}".encode())
            fleet.run(0.7)

    def roll_back(
        self,
        fleet: FeedFleet,
        outage: Outage,
        *,
        more: int = MORE,
        value: bytes = b"next",
        trim: bool = False,
    ) -> float:
        """Roll the store back during an outage; return the time of its return.

        The next value is written first, so that its offset is below the old end of the log; then
        the lost records are written in another order, and ``more`` new ones.
        """
        rng = random.Random(1)
        for store in fleet.stores.values():
            store.fail(fleet.routers, outage)
        fleet.run(AWAY)
        for store in fleet.stores.values():
            lost = store.roll_back(COPY_AGE)
            store.publish("key", value)
            rng.shuffle(lost)
            for record in lost:
                if record.key != "key":
                    store.publish(record.key, record.value)
            for number in range(more):
                store.publish(f"more-{number}", b"more")
        for store in fleet.stores.values():
            if trim:
                store.trim_to_last()
            store.heal()
        return fleet.clock.now()

    def seconds_to_all(self, fleet: FeedFleet, value: bytes, since: float) -> float:
        """Return the seconds from a time until all routers have a value."""
        fleet.run(2 * BOUND)
        return max(fleet.last_arrival(feed, value) - since for feed in FEEDS)

    def check_next(
        self, count: int, outage: Outage, *, more: int = MORE, trim: bool = False
    ) -> None:
        fleet = self.start(count)
        self.write_some(fleet)
        back_at = self.roll_back(fleet, outage, more=more, trim=trim)
        self.assertLessEqual(self.seconds_to_all(fleet, b"next", back_at), BOUND)

    def test_the_next_version_reaches_seven_routers_after_each_kind_of_outage(self) -> None:
        for outage in Outage:
            for more in (0, MORE):
                with self.subTest(outage=outage, more=more):
                    self.check_next(7, outage, more=more)

    def test_the_next_version_reaches_a_fleet_with_few_readers(self) -> None:
        for count in (19, 60, 200):
            with self.subTest(count=count):
                self.check_next(count, Outage.RESET)

    def test_a_log_trimmed_during_the_rollback_keeps_the_bound(self) -> None:
        # Its first offset is below, at or above the offset from which routers read on.
        for count, more in ((7, 0), (7, MORE), (7, 4 * MORE), (60, MORE)):
            with self.subTest(count=count, more=more):
                self.check_next(count, Outage.RESET, more=more, trim=True)

    def test_routers_that_still_lack_the_store_learn_its_new_era_from_peers(self) -> None:
        for count, outage in ((7, Outage.SILENT), (7, Outage.BUSY), (19, Outage.SILENT)):
            with self.subTest(count=count, outage=outage):
                fleet = self.start(count)
                self.write_some(fleet)
                back_at = self.roll_back(fleet, Outage.RESET)
                for store in fleet.stores.values():
                    store.fail(list(fleet.routers)[: count // 2], outage)
                self.assertLessEqual(self.seconds_to_all(fleet, b"next", back_at), BOUND)

    def test_several_rollbacks_within_seconds_keep_the_bound(self) -> None:
        for rollbacks in (2, 3):
            with self.subTest(rollbacks=rollbacks):
                fleet = self.start(19)
                self.write_some(fleet)
                back_at = 0.0
                for number in range(rollbacks):
                    back_at = self.roll_back(fleet, Outage.BUSY, more=MORE + number)
                    fleet.run(0.3)
                self.assertLessEqual(self.seconds_to_all(fleet, b"next", back_at), BOUND)


if __name__ == "__main__":
    unittest.main()
