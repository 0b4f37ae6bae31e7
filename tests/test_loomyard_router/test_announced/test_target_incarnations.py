"""Tests that state of one incarnation of a target does not apply to the next."""

from __future__ import annotations

import unittest

from attrs import evolve

from loomyard_router.admission.ejection_tracker import EjectionTracker
from loomyard_router.admission.target_loads import MIN_SLOTS, TargetLoads
from loomyard_router.announced.announced_target import AnnouncedTarget
from loomyard_router.announced.target_registry import TargetRegistry
from loomyard_router.feeds.feed_position import FeedPosition
from loomyard_standins.fake_clock import FakeClock
from test_loomyard_router.test_admission.slots_case import SLOTS, Fleet
from test_loomyard_router.test_routed.routed_case import RoutedCase, route
from test_loomyard_router.test_routed.scripted_target import plain_script

OLD = AnnouncedTarget(
    id="t", service="s", address="127.0.0.1:1", born=1_000, position=FeedPosition(0, 5)
)
NEW = evolve(OLD, born=2_000, position=FeedPosition(0, 6))


class IncarnationsInRegistryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.registry = TargetRegistry(FakeClock())
        self.registry.replace_all([OLD])

    def test_a_later_incarnation_replaces_an_earlier_one(self) -> None:
        self.registry.apply([NEW], [])
        self.assertFalse(self.registry.is_usable(OLD))
        self.assertTrue(self.registry.is_usable(NEW))
        self.assertEqual([NEW], self.registry.listed())
        self.assertEqual(1, self.registry.restarts)

    def test_an_announcement_of_an_earlier_incarnation_is_ignored(self) -> None:
        self.registry.apply([NEW], [])
        self.registry.apply([evolve(OLD, position=FeedPosition(0, 9), draining=True)], [])
        self.assertTrue(self.registry.is_usable(NEW))
        self.registry.replace_all([OLD])
        self.assertEqual([NEW], self.registry.listed())

    def test_an_earlier_incarnation_does_not_bring_back_a_target_whose_entry_vanished(self) -> None:
        self.registry.apply([NEW], [])
        self.registry.apply([], ["t"])
        self.registry.apply([OLD], [])
        self.assertEqual((), self.registry.usable("s"))

    def test_the_newest_record_of_an_incarnation_counts(self) -> None:
        moved = evolve(OLD, address="127.0.0.1:9", position=FeedPosition(0, 7))
        self.registry.apply([moved], [])
        self.assertEqual("127.0.0.1:9", self.registry.usable("s")[0].address)

    def test_targets_without_a_start_time_are_distinguished_by_id(self) -> None:
        self.registry.apply([AnnouncedTarget(id="u", service="s", address="127.0.0.1:2")], [])
        self.assertEqual(["t", "u"], [one.id for one in self.registry.usable("s")])


class IncarnationsInAdmissionTest(unittest.TestCase):
    def test_failures_of_an_earlier_incarnation_do_not_eject_the_later_one(self) -> None:
        health = EjectionTracker(FakeClock())
        other = AnnouncedTarget(id="o", service="s", address="127.0.0.1:3")
        for _ in range(3):
            health.record_failure(OLD, "reset", unreachable=True)
        self.assertEqual([other], health.healthy([OLD, other]))
        self.assertEqual([NEW, other], health.healthy([NEW, other]))

    def test_requests_running_at_an_earlier_incarnation_use_no_slots_of_the_later_one(self) -> None:
        loads = TargetLoads(lambda: 100)
        for _ in range(MIN_SLOTS):
            loads.record_start(OLD)
        self.assertFalse(loads.has_free_slot(OLD))
        self.assertTrue(loads.has_free_slot(NEW))

    def test_slots_granted_for_an_earlier_incarnation_are_free_in_the_later_one(self) -> None:
        fleet = Fleet(1)
        for born in (1_000, 2_000):
            restarted = evolve(fleet.targets[0], born=born, position=FeedPosition(0, born))
            for router in fleet.routers:
                router.registry.apply([restarted], [])
            permits = [
                fleet.routers[n % 3].gate.acquire(fleet.request(number=n), frozenset())
                for n in range(SLOTS)
            ]
            self.assertTrue(all(one.is_ok() for one in permits))


class IncarnationsInConnectionPoolTest(RoutedCase):
    def test_a_pooled_connection_of_an_earlier_incarnation_is_not_reused(self) -> None:
        target = self.target("t", plain_script)
        self.announce(target.announced(born=1_000))
        self.publish(route())
        self.assertEqual(200, self.call().status)
        self.assertEqual(1, target.connections)
        self.announce(target.announced(born=2_000))
        self.assertEqual(200, self.call().status)
        self.assertEqual(2, target.connections)


if __name__ == "__main__":
    unittest.main()
