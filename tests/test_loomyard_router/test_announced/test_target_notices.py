"""Tests of how long what targets say of themselves counts, and for which of their lives."""

from __future__ import annotations

import unittest

from attrs import evolve

from loomyard_router.announced import target_notices
from loomyard_router.announced.announced_target import AnnouncedTarget
from loomyard_router.announced.target_board import TargetBoard
from loomyard_router.announced.target_life import TargetLife
from loomyard_router.announced.target_notice import TargetNotice
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
        self.board = TargetBoard(self.clock)
        self.board.replace_all([TARGET, OTHER])

    def usable(self) -> list[str]:
        """Return the ids of targets that may get work."""
        return [target.id for target in self.board.usable("s")]

    def rest(self, seconds: float, target: AnnouncedTarget = TARGET) -> None:
        """Let a target ask for rest."""
        self.board.hear(target, TargetNotice(rest_seconds=seconds))


class LeavingTest(NoticesCase):
    def test_no_listing_takes_a_leaving_back(self) -> None:
        self.board.hear(TARGET, LEAVES)
        again = evolve(TARGET, position=FeedPosition(0, 7))
        changes = {
            "listed anew": lambda: self.board.replace_all([TARGET, OTHER]),
            "written again": lambda: self.board.apply([again], []),
            "vanished and back": lambda: (
                self.board.apply([], ["t"]),
                self.clock.advance(60.0),
                self.board.apply([again], []),
            ),
            "the store lost and back": lambda: (
                self.board.note_store_lost(),
                self.board.apply([], ["t"]),
                self.board.note_store_back(),
            ),
        }
        for change, make in changes.items():
            with self.subTest(change=change):
                make()
                self.assertEqual(["u"], self.usable())
                self.assertFalse(self.board.takes_work(TARGET))

    def test_the_next_life_of_a_target_is_used(self) -> None:
        self.board.hear(TARGET, LEAVES)
        self.board.apply([NEXT_LIFE], [])
        self.assertEqual(["t", "u"], self.usable())
        # An answer of the earlier life that came late says nothing of this one.
        self.board.hear(TARGET, LEAVES)
        self.assertTrue(self.board.takes_work(NEXT_LIFE))

    def test_a_leaving_heard_before_the_target_is_known(self) -> None:
        self.board.note_leaving(TargetLife("v"))
        self.board.apply([AnnouncedTarget(id="v", service="s", address="127.0.0.1:3")], [])
        self.assertEqual(["t", "u"], self.usable())

    def test_room_for_leavings_is_bounded(self) -> None:
        for number in range(target_notices.MOST_LEAVING + 1):
            self.board.notices.note_leaving(TargetLife(f"{number}"))
        self.assertFalse(self.board.notices.leaves(TargetLife("0")))
        self.assertTrue(self.board.notices.leaves(TargetLife("1")))

    def test_each_change_is_told_once(self) -> None:
        changes: list[None] = []
        told: list[TargetLife] = []
        self.board.subscribe(lambda: changes.append(None))
        self.board.notices.subscribe(told.append)
        for _ in range(3):
            self.board.hear(TARGET, LEAVES)
        self.board.note_leaving(TARGET.life)
        self.assertEqual((1, [TARGET.life]), (len(changes), told))


class RestTest(NoticesCase):
    def test_a_target_gets_work_again_when_its_rest_is_over(self) -> None:
        self.rest(3.0)
        self.assertEqual(["u"], self.usable())
        self.assertEqual(1, self.board.notices.resting)
        self.clock.advance(2.9)
        self.assertFalse(self.board.takes_work(TARGET))
        self.clock.advance(0.1)
        self.assertTrue(self.board.takes_work(TARGET))
        self.assertEqual(0, self.board.notices.resting)

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
        self.board.apply([NEXT_LIFE], [])
        self.assertEqual(["t", "u"], self.usable())

    def test_a_target_that_may_come_back_rests_too(self) -> None:
        self.board.note_store_lost()
        self.board.apply([], ["t"])
        self.rest(3.0)
        self.assertEqual(["u"], self.usable())
        self.clock.advance(3.0)
        self.assertEqual(["t", "u"], self.usable())


if __name__ == "__main__":
    unittest.main()
