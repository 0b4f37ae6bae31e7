"""Tests of which announced targets may get new work."""

from __future__ import annotations

import unittest

from loomyard_router.announced.announced_target import AnnouncedTarget
from loomyard_router.announced.target_registry import GRACE_SECONDS, TargetRegistry
from loomyard_standins.fake_clock import FakeClock


def target(number: int, **changes: object) -> AnnouncedTarget:
    fields = {"id": f"t{number}", "service": "s", "address": f"127.0.0.1:{number}"}
    return AnnouncedTarget(**fields | changes)  # type: ignore[arg-type]


class TestTargetRegistry(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock()
        self.clock.advance(100.0)
        self.registry = TargetRegistry(self.clock)
        self.registry.replace_all([target(n) for n in range(6)])

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
        self.registry.on_store_recovered()
        self.registry.apply([target(0)], [])
        self.clock.advance(GRACE_SECONDS - 0.1)
        self.assertEqual(6, len(self.usable()))
        self.clock.advance(0.2)
        self.assertEqual(["t0", "t2", "t3", "t4", "t5"], self.usable())

    def test_targets_that_expire_just_after_an_outage_are_used_for_a_grace(self) -> None:
        self.registry.on_store_lost()
        self.registry.on_store_recovered()
        self.registry.apply([], ["t3"])
        self.assertIn("t3", self.usable())
        self.clock.advance(GRACE_SECONDS + 0.1)
        self.assertNotIn("t3", self.usable())

    def test_half_a_service_that_vanishes_at_once_is_used_for_a_grace(self) -> None:
        self.registry.apply([], ["t0", "t1", "t2"])
        self.assertEqual(6, len(self.usable()))
        self.clock.advance(GRACE_SECONDS + 0.1)
        self.assertEqual(["t3", "t4", "t5"], self.usable())

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
