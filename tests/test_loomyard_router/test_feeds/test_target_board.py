"""Tests of which announced targets may get new work."""

from __future__ import annotations

import unittest

from loomyard_router.announced.announced_target import AnnouncedTarget
from loomyard_router.announced.target_registry import RETURN_SECONDS, TargetRegistry
from loomyard_standins.fake_clock import FakeClock


def target(number: int, **changes: object) -> AnnouncedTarget:
    fields = {"id": f"t{number}", "service": "s", "address": f"127.0.0.1:{number}"}
    return AnnouncedTarget(**fields | changes)  # type: ignore[arg-type]


class TestTargetBoard(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock()
        self.clock.advance(100.0)
        self.registry = TargetRegistry(self.clock)
        self.registry.replace_all([target(n) for n in range(6)])

    def usable(self) -> list[str]:
        return [one.id for one in self.registry.usable("s")]

    def test_a_draining_one_gets_nothing_at_once(self) -> None:
        self.registry.apply([target(2, draining=True)], [])
        self.assertEqual(["t0", "t1", "t3", "t4", "t5"], self.usable())

    def test_one_that_vanishes_gets_nothing_at_once(self) -> None:
        self.registry.apply([], ["t1"])
        self.assertNotIn("t1", self.usable())

    def test_those_that_lapse_with_the_store_are_used_until_they_had_to_return(self) -> None:
        self.registry.note_store_lost()
        self.registry.apply([], ["t0", "t1"])
        self.clock.advance(30.0)
        self.assertEqual(6, len(self.usable()))
        self.registry.note_store_back()
        self.registry.apply([target(0)], [])
        self.clock.advance(RETURN_SECONDS - 0.1)
        self.assertEqual(6, len(self.usable()))
        self.clock.advance(0.2)
        self.assertEqual(["t0", "t2", "t3", "t4", "t5"], self.usable())

    def test_those_that_lapsed_unnoticed_vanish_just_after_the_return(self) -> None:
        self.registry.note_store_lost()
        self.registry.note_store_back()
        self.registry.apply([], ["t3"])
        self.assertIn("t3", self.usable())
        self.clock.advance(RETURN_SECONDS + 0.1)
        self.assertNotIn("t3", self.usable())

    def test_half_a_service_that_vanishes_together_is_used_for_a_while(self) -> None:
        self.registry.apply([], ["t0", "t1", "t2"])
        self.assertEqual(6, len(self.usable()))
        self.clock.advance(RETURN_SECONDS + 0.1)
        self.assertEqual(["t3", "t4", "t5"], self.usable())

    def test_a_drained_one_that_vanishes_in_an_outage_is_not_used(self) -> None:
        self.registry.apply([target(4, draining=True)], [])
        self.registry.note_store_lost()
        self.registry.apply([], ["t4"])
        self.assertNotIn("t4", self.usable())

    def test_a_peer_with_the_store_says_who_left(self) -> None:
        self.registry.note_store_lost()
        self.registry.replace_all([target(n) for n in range(5)], by_peer=True)
        self.assertNotIn("t5", self.usable())

    def test_a_peer_with_the_store_says_who_left_also_by_changes(self) -> None:
        self.registry.note_store_lost()
        self.registry.apply([], ["t5"], by_peer=True)
        self.assertNotIn("t5", self.usable())

    def test_an_address_that_is_used_again_is_another_target(self) -> None:
        self.registry.apply([target(9, address="127.0.0.1:1", service="other")], ["t1"])
        self.assertNotIn("t1", self.usable())
        self.assertEqual(["t9"], [one.id for one in self.registry.usable("other")])


if __name__ == "__main__":
    unittest.main()
