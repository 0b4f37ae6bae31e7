"""Tests of how long notices of targets apply, and to which incarnation."""

from __future__ import annotations

import unittest

from attrs import evolve

from loomyard_router.announced import target_notices
from loomyard_router.announced.announced_target import AnnouncedTarget
from loomyard_router.announced.target_incarnation import TargetLife
from loomyard_router.announced.target_notice import TargetNotice
from loomyard_router.announced.target_registry import TargetRegistry
from loomyard_router.feeds.feed_position import FeedPosition
from loomyard_standins.fake_clock import FakeClock

TARGET = AnnouncedTarget(
    id="t", service="s", address="127.0.0.1:1", born=1_000, position=FeedPosition(0, 5)
)
NEXT_INCARNATION = evolve(TARGET, born=2_000, position=FeedPosition(0, 9))
OTHER = AnnouncedTarget(id="u", service="s", address="127.0.0.1:2")
LEAVES = TargetNotice(leaving=True)


class NoticesCase(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock()
        self.registry = TargetRegistry(self.clock)
        self.registry.replace_all([TARGET, OTHER])

    def usable(self) -> list[str]:
        """Return the ids of targets that may get new requests."""
        return [target.id for target in self.registry.usable("s")]

    def back_off(self, seconds: float, target: AnnouncedTarget = TARGET) -> None:
        """Apply a target's request to back off."""
        self.registry.apply_notice(target, TargetNotice(backoff_seconds=seconds))


class LeavingTest(NoticesCase):
    def test_no_listing_or_entry_ends_leaving(self) -> None:
        self.registry.apply_notice(TARGET, LEAVES)
        again = evolve(TARGET, position=FeedPosition(0, 7))
        changes = {
            "listed again": lambda: self.registry.replace_all([TARGET, OTHER]),
            "written again": lambda: self.registry.apply([again], []),
            "deleted and written again": lambda: (
                self.registry.apply([], ["t"]),
                self.clock.advance(60.0),
                self.registry.apply([again], []),
            ),
            "store outage": lambda: (
                self.registry.on_store_lost(),
                self.registry.apply([], ["t"]),
                self.registry.on_store_recovered(),
            ),
        }
        for change, make in changes.items():
            with self.subTest(change=change):
                make()
                self.assertEqual(["u"], self.usable())
                self.assertFalse(self.registry.is_usable(TARGET))

    def test_the_next_incarnation_is_usable_after_leaving(self) -> None:
        self.registry.apply_notice(TARGET, LEAVES)
        self.registry.apply([NEXT_INCARNATION], [])
        self.assertEqual(["t", "u"], self.usable())
        # A late answer of the earlier incarnation does not apply to this one.
        self.registry.apply_notice(TARGET, LEAVES)
        self.assertTrue(self.registry.is_usable(NEXT_INCARNATION))

    def test_leaving_received_before_the_target_is_listed_applies(self) -> None:
        self.registry.record_leaving(TargetLife("v"))
        self.registry.apply([AnnouncedTarget(id="v", service="s", address="127.0.0.1:3")], [])
        self.assertEqual(["t", "u"], self.usable())

    def test_the_number_of_remembered_leaving_incarnations_is_bounded(self) -> None:
        for number in range(target_notices.MAX_LEAVING + 1):
            self.registry.notices.record_leaving(TargetLife(f"{number}"))
        self.assertFalse(self.registry.notices.is_leaving(TargetLife("0")))
        self.assertTrue(self.registry.notices.is_leaving(TargetLife("1")))

    def test_listeners_are_notified_once_per_change(self) -> None:
        changes: list[None] = []
        left: list[TargetLife] = []
        self.registry.subscribe(lambda: changes.append(None))
        self.registry.notices.subscribe(left.append)
        for _ in range(3):
            self.registry.apply_notice(TARGET, LEAVES)
        self.registry.record_leaving(TARGET.incarnation)
        self.assertEqual((1, [TARGET.incarnation]), (len(changes), left))


class BackoffTest(NoticesCase):
    def test_a_target_is_usable_again_after_its_backoff(self) -> None:
        self.back_off(3.0)
        self.assertEqual(["u"], self.usable())
        self.assertEqual(1, self.registry.notices.backing_off)
        self.clock.advance(2.9)
        self.assertFalse(self.registry.is_usable(TARGET))
        self.clock.advance(0.1)
        self.assertTrue(self.registry.is_usable(TARGET))
        self.assertEqual(0, self.registry.notices.backing_off)

    def test_the_latest_end_of_several_backoffs_counts(self) -> None:
        self.back_off(3.0)
        self.back_off(1.0)
        self.clock.advance(2.0)
        self.assertEqual(["u"], self.usable())
        self.back_off(4.0)
        self.clock.advance(2.0)
        self.assertEqual(["u"], self.usable())
        self.clock.advance(2.0)
        self.assertEqual(["t", "u"], self.usable())

    def test_the_backoff_of_each_target_is_separate(self) -> None:
        self.back_off(3.0)
        self.back_off(1.0, OTHER)
        self.assertEqual([], self.usable())
        self.clock.advance(1.0)
        self.assertEqual(["u"], self.usable())
        self.clock.advance(2.0)
        self.assertEqual(["t", "u"], self.usable())

    def test_the_next_incarnation_has_no_backoff(self) -> None:
        self.back_off(3.0)
        self.registry.apply([NEXT_INCARNATION], [])
        self.assertEqual(["t", "u"], self.usable())

    def test_backoff_applies_to_a_target_in_grace(self) -> None:
        self.registry.on_store_lost()
        self.registry.apply([], ["t"])
        self.back_off(3.0)
        self.assertEqual(["u"], self.usable())
        self.clock.advance(3.0)
        self.assertEqual(["t", "u"], self.usable())


if __name__ == "__main__":
    unittest.main()
