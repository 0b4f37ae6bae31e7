"""Tests of which announced targets may get new work."""

from __future__ import annotations

import unittest

from loomyard_router.announced.announced_target import AnnouncedTarget
from loomyard_router.announced.departure_terms import SEND_SECONDS
from loomyard_router.announced.lapsed_targets import GRACE_SECONDS
from loomyard_router.announced.target_registry import TargetRegistry
from loomyard_router.feeds.store_times import StoreTimes
from loomyard_standins.fake_clock import FakeClock


def target(number: int, **changes: object) -> AnnouncedTarget:
    fields = {"id": f"t{number}", "service": "s", "address": f"127.0.0.1:{number}"}
    return AnnouncedTarget(**fields | changes)  # type: ignore[arg-type]


class TestTargetRegistry(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock()
        self.clock.advance(100.0)
        self.times = StoreTimes()
        self.registry = TargetRegistry(self.clock, times=self.times)
        self.registry.replace_all([target(n) for n in range(6)])
        self.times.record_read(self.clock.now())

    def recover_store(self) -> None:
        """End an outage whose last failed call began just now."""
        self.times.record_failure(self.clock.now())
        self.registry.on_store_recovered()

    def usable(self) -> list[str]:
        return [one.id for one in self.registry.usable("s")]

    def test_a_draining_target_gets_no_work_at_once(self) -> None:
        self.registry.apply([target(2, draining=True)], [])
        self.assertEqual(["t0", "t1", "t3", "t4", "t5"], self.usable())

    def test_a_target_that_vanishes_gets_no_work_at_once(self) -> None:
        self.registry.apply([], ["t1"])
        self.assertNotIn("t1", self.usable())

    def test_targets_that_expire_in_an_outage_are_used_until_the_store_recovered(
        self,
    ) -> None:
        self.registry.on_store_lost()
        self.registry.apply([], ["t0", "t1"])
        self.clock.advance(30.0)
        self.assertEqual(6, len(self.usable()))
        self.recover_store()
        self.registry.apply([target(0)], [])
        self.clock.advance(GRACE_SECONDS - 0.1)
        self.assertEqual(6, len(self.usable()))
        self.clock.advance(0.2)
        self.assertEqual(["t0", "t2", "t3", "t4", "t5"], self.usable())

    def test_targets_that_expire_just_after_an_outage_are_used_for_a_grace(self) -> None:
        self.registry.on_store_lost()
        self.recover_store()
        self.registry.apply([], ["t3"])
        self.assertIn("t3", self.usable())
        self.clock.advance(GRACE_SECONDS + 0.1)
        self.assertNotIn("t3", self.usable())

    def test_half_a_service_that_vanishes_at_once_is_used_for_a_grace(self) -> None:
        self.registry.apply([], ["t0", "t1", "t2"])
        self.assertEqual(6, len(self.usable()))
        self.clock.advance(GRACE_SECONDS - SEND_SECONDS - 0.1)
        self.assertEqual(6, len(self.usable()))
        self.clock.advance(0.2)
        self.assertEqual(["t3", "t4", "t5"], self.usable())

    def test_the_grace_ends_when_targets_that_left_unread_for_a_second_end(self) -> None:
        # Guards against requests at targets that left, while half of their service is gone.
        self.clock.advance(1.0)
        self.registry.apply([], ["t0", "t1", "t2"])
        self.clock.advance(GRACE_SECONDS - 1.0 - SEND_SECONDS - 0.1)
        self.assertEqual(6, len(self.usable()))
        self.clock.advance(0.2)
        self.assertEqual(["t3", "t4", "t5"], self.usable())

    def test_targets_that_left_longer_ago_than_they_serve_get_no_work(self) -> None:
        # Guards against requests at targets whose departure a router reads after they have ended.
        self.clock.advance(GRACE_SECONDS)
        self.registry.apply([], ["t0", "t1", "t2"])
        self.assertEqual(["t3", "t4", "t5"], self.usable())

    def test_entries_that_lapse_moments_apart_are_used_for_a_grace_each(self) -> None:
        # Guards against a service emptied because its entries lapse one after the other.
        for number in range(6):
            self.registry.apply([], [f"t{number}"])
            self.clock.advance(0.2)
            self.times.record_read(self.clock.now())
        self.assertEqual(6, len(self.usable()))
        self.clock.advance(GRACE_SECONDS - SEND_SECONDS - 1.2 + 0.1)
        self.assertEqual(["t1", "t2", "t3", "t4", "t5"], self.usable())

    def test_the_only_target_of_a_service_is_used_for_a_grace(self) -> None:
        # Guards against an emptied service of one target whose entry lapsed.
        self.registry.apply([target(9, service="single")], [])
        self.registry.apply([], ["t9"])
        self.assertEqual(["t9"], [one.id for one in self.registry.usable("single")])

    def test_a_draining_target_that_vanishes_in_an_outage_is_not_used(self) -> None:
        self.registry.apply([target(4, draining=True)], [])
        self.registry.on_store_lost()
        self.registry.apply([], ["t4"])
        self.assertNotIn("t4", self.usable())

    def test_a_listing_of_a_peer_removes_targets_during_an_outage(self) -> None:
        self.registry.on_store_lost()
        self.registry.replace_all([target(n) for n in range(5)], by_peer=True)
        self.assertNotIn("t5", self.usable())

    def test_changes_of_a_peer_remove_targets_during_an_outage(self) -> None:
        self.registry.on_store_lost()
        self.registry.apply([], ["t5"], by_peer=True)
        self.assertNotIn("t5", self.usable())

    def test_a_reused_address_belongs_to_the_new_target(self) -> None:
        self.registry.apply([target(9, address="127.0.0.1:1", service="other")], ["t1"])
        self.assertNotIn("t1", self.usable())
        self.assertEqual(["t9"], [one.id for one in self.registry.usable("other")])


if __name__ == "__main__":
    unittest.main()
