"""Tests of targets that start again under their id."""

from __future__ import annotations

import unittest

from attrs import evolve

from loomyard_router.admission.target_health import TargetHealth
from loomyard_router.admission.target_loads import LEAST_PLACES, TargetLoads
from loomyard_router.announced.announced_target import AnnouncedTarget
from loomyard_router.announced.target_board import TargetBoard
from loomyard_router.feeds.feed_position import FeedPosition
from loomyard_standins.fake_clock import FakeClock
from test_loomyard_router.test_admission.places_case import SLOTS, Fleet
from test_loomyard_router.test_routed.routed_case import RoutedCase, route
from test_loomyard_router.test_routed.scripted_target import plain_script

OLD = AnnouncedTarget(
    id="t", service="s", address="127.0.0.1:1", born=1_000, position=FeedPosition(0, 5)
)
NEW = evolve(OLD, born=2_000, position=FeedPosition(0, 6))


class LivesOnTheBoardTest(unittest.TestCase):
    def setUp(self) -> None:
        self.board = TargetBoard(FakeClock())
        self.board.replace_all([OLD])

    def test_a_later_life_replaces_an_earlier_one(self) -> None:
        self.board.apply([NEW], [])
        self.assertFalse(self.board.takes_work(OLD))
        self.assertTrue(self.board.takes_work(NEW))
        self.assertEqual([NEW], self.board.known())
        self.assertEqual(1, self.board.lives_replaced)

    def test_an_earlier_life_after_a_later_one_is_old_news(self) -> None:
        self.board.apply([NEW], [])
        self.board.apply([evolve(OLD, position=FeedPosition(0, 9), draining=True)], [])
        self.assertTrue(self.board.takes_work(NEW))
        self.board.replace_all([OLD])
        self.assertEqual([NEW], self.board.known())

    def test_old_news_of_one_that_lapsed_does_not_bring_it_back(self) -> None:
        self.board.apply([NEW], [])
        self.board.apply([], ["t"])
        self.board.apply([OLD], [])
        self.assertEqual((), self.board.usable("s"))

    def test_of_one_life_the_newest_record_counts(self) -> None:
        moved = evolve(OLD, address="127.0.0.1:9", position=FeedPosition(0, 7))
        self.board.apply([moved], [])
        self.assertEqual("127.0.0.1:9", self.board.usable("s")[0].address)

    def test_targets_that_tell_no_birth_are_told_apart_by_their_id(self) -> None:
        self.board.apply([AnnouncedTarget(id="u", service="s", address="127.0.0.1:2")], [])
        self.assertEqual(["t", "u"], [one.id for one in self.board.usable("s")])


class LivesInAdmissionTest(unittest.TestCase):
    def test_what_a_target_failed_in_an_earlier_life_is_not_held_against_it(self) -> None:
        health = TargetHealth(FakeClock())
        other = AnnouncedTarget(id="o", service="s", address="127.0.0.1:3")
        for _ in range(3):
            health.note_failure(OLD, "reset", unreachable=True)
        self.assertEqual([other], health.sound([OLD, other]))
        self.assertEqual([NEW, other], health.sound([NEW, other]))

    def test_what_runs_in_an_earlier_life_takes_no_place_of_the_later_one(self) -> None:
        loads = TargetLoads(lambda: 100)
        for _ in range(LEAST_PLACES):
            loads.enter(OLD)
        self.assertFalse(loads.has_place(OLD))
        self.assertTrue(loads.has_place(NEW))

    def test_places_held_in_an_earlier_life_are_free_in_the_later_one(self) -> None:
        fleet = Fleet(1)
        for life in (1_000, 2_000):
            reborn = evolve(fleet.targets[0], born=life, position=FeedPosition(0, life))
            for router in fleet.routers:
                router.board.apply([reborn], [])
            taken = [
                fleet.routers[n % 3].gate.take(fleet.request(number=n), frozenset())
                for n in range(SLOTS)
            ]
            self.assertTrue(all(one.is_ok() for one in taken))


class LivesOnTheWireTest(RoutedCase):
    def test_a_kept_connection_of_an_earlier_life_is_not_used_for_the_later_one(self) -> None:
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
