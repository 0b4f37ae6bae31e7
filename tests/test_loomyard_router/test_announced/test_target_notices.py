"""Tests of how long what targets say of themselves counts, and for which of their lives."""

from __future__ import annotations

import unittest

from attrs import evolve

from loomyard_router.announced import target_notices
from loomyard_router.announced.announced_target import AnnouncedTarget
from loomyard_router.announced.target_incarnation import TargetIncarnation
from loomyard_router.announced.target_notice import TargetNotice
from loomyard_router.announced.target_registry import TargetRegistry
from loomyard_router.feeds.feed_position import FeedPosition
from loomyard_standins.fake_clock import FakeClock

TARGET = AnnouncedTarget(
    id="t", service="s", address="127.0.0.1:1", born=1_000, position=FeedPosition(0, 5)
)
NEXT_LIFE = evolve(TARGET, born=2_000, position=FeedPosition(0, 9))
OTHER = AnnouncedTarget(id="u", service="s", address="127.0.0.1:2")
LEAVES = TargetNotice(leaving=True)


class NoticesCase(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock()
        self.registry = TargetRegistry(self.clock)
        self.registry.replace_all([TARGET, OTHER])

    def usable(self) -> list[str]:
        """Return the ids of targets that may get work."""
        return [target.id for target in self.registry.usable("s")]

    def rest(self, seconds: float, target: AnnouncedTarget = TARGET) -> None:
        """Let a target ask for rest."""
        self.registry.apply_notice(target, TargetNotice(backoff_seconds=seconds))


class LeavingTest(NoticesCase):
    def test_no_listing_takes_a_leaving_back(self) -> None:
        self.registry.apply_notice(TARGET, LEAVES)
        again = evolve(TARGET, position=FeedPosition(0, 7))
        changes = {
            "listed anew": lambda: self.registry.replace_all([TARGET, OTHER]),
            "written again": lambda: self.registry.apply([again], []),
            "vanished and back": lambda: (
                self.registry.apply([], ["t"]),
                self.clock.advance(60.0),
                self.registry.apply([again], []),
            ),
            "the store lost and back": lambda: (
                self.registry.note_store_lost(),
                self.registry.apply([], ["t"]),
                self.registry.note_store_back(),
            ),
        }
        for change, make in changes.items():
            with self.subTest(change=change):
                make()
                self.assertEqual(["u"], self.usable())
                self.assertFalse(self.registry.is_usable(TARGET))

    def test_the_next_life_of_a_target_is_used(self) -> None:
        self.registry.apply_notice(TARGET, LEAVES)
        self.registry.apply([NEXT_LIFE], [])
        self.assertEqual(["t", "u"], self.usable())
        # An answer of the earlier life that came late says nothing of this one.
        self.registry.apply_notice(TARGET, LEAVES)
        self.assertTrue(self.registry.is_usable(NEXT_LIFE))

    def test_a_leaving_heard_before_the_target_is_known(self) -> None:
        self.registry.record_leaving(TargetIncarnation("v"))
        self.registry.apply([AnnouncedTarget(id="v", service="s", address="127.0.0.1:3")], [])
        self.assertEqual(["t", "u"], self.usable())

    def test_room_for_leavings_is_bounded(self) -> None:
        for number in range(target_notices.MOST_LEAVING + 1):
            self.registry.notices.note_leaving(TargetIncarnation(f"{number}"))
        self.assertFalse(self.registry.notices.is_leaving(TargetIncarnation("0")))
        self.assertTrue(self.registry.notices.is_leaving(TargetIncarnation("1")))

    def test_each_change_is_told_once(self) -> None:
        changes: list[None] = []
        told: list[TargetIncarnation] = []
        self.registry.subscribe(lambda: changes.append(None))
        self.registry.notices.subscribe(told.append)
        for _ in range(3):
            self.registry.apply_notice(TARGET, LEAVES)
        self.registry.record_leaving(TARGET.incarnation)
        self.assertEqual((1, [TARGET.incarnation]), (len(changes), told))


class RestTest(NoticesCase):
    def test_a_target_gets_work_again_when_its_rest_is_over(self) -> None:
        self.rest(3.0)
        self.assertEqual(["u"], self.usable())
        self.assertEqual(1, self.registry.notices.backing_off)
        self.clock.advance(2.9)
        self.assertFalse(self.registry.is_usable(TARGET))
        self.clock.advance(0.1)
        self.assertTrue(self.registry.is_usable(TARGET))
        self.assertEqual(0, self.registry.notices.backing_off)

    def test_the_latest_end_counts(self) -> None:
        self.rest(3.0)
        self.rest(1.0)
        self.clock.advance(2.0)
        self.assertEqual(["u"], self.usable())
        self.rest(4.0)
        self.clock.advance(2.0)
        self.assertEqual(["u"], self.usable())
        self.clock.advance(2.0)
        self.assertEqual(["t", "u"], self.usable())

    def test_each_target_rests_for_itself(self) -> None:
        self.rest(3.0)
        self.rest(1.0, OTHER)
        self.assertEqual([], self.usable())
        self.clock.advance(1.0)
        self.assertEqual(["u"], self.usable())
        self.clock.advance(2.0)
        self.assertEqual(["t", "u"], self.usable())

    def test_the_next_life_has_asked_for_nothing(self) -> None:
        self.rest(3.0)
        self.registry.apply([NEXT_LIFE], [])
        self.assertEqual(["t", "u"], self.usable())

    def test_a_target_that_may_come_back_rests_too(self) -> None:
        self.registry.note_store_lost()
        self.registry.apply([], ["t"])
        self.rest(3.0)
        self.assertEqual(["u"], self.usable())
        self.clock.advance(3.0)
        self.assertEqual(["t", "u"], self.usable())


if __name__ == "__main__":
    unittest.main()
