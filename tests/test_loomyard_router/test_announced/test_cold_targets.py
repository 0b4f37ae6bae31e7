"""Tests of cold targets: the whole fleet together stays under what one bears."""

from __future__ import annotations

import unittest

from attrs import evolve

from loomyard_router.announced.announced_target import AnnouncedTarget
from loomyard_router.announced.cold_targets import KEEPER_PART, UNLIMITED
from loomyard_router.feeds.feed_position import FeedPosition
from loomyard_router.peers.no_peers import NoPeers
from test_loomyard_router.test_admission.slots_case import (
    COLD_PER_SECOND,
    COLD_SECONDS,
    Fleet,
    Router,
)

# What users count against: half more than a cold target bears, and five more in any one second.
OVERSHOOT, SLACK = 1.5, 5
ROUTERS = 60
STEP = 0.02
SLOTS = 1000


def make_cold(fleet: Fleet, *, offset: int = 1, seconds: float = COLD_SECONDS) -> None:
    """Announce to all routers that all targets are cold."""
    targets = [
        evolve(one, cold_seconds=seconds, position=FeedPosition(0, offset)) for one in fleet.targets
    ]
    for router in fleet.routers:
        router.registry.apply(targets, [])


def take(fleet: Fleet, router: Router, number: int) -> bool:
    return router.gate.acquire(fleet.request(number=number), frozenset()).is_ok()


def most_in_a_second(times: list[float]) -> int:
    return max(sum(1 for at in times if start <= at < start + 1.0) for start in times)


class ColdTargetsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = Fleet(1, routers=ROUTERS, slots=SLOTS)

    def offer(self, seconds: float, routers: list[Router] | None = None) -> list[float]:
        """Let each router ask at each step; return when places were given."""
        clock = self.fleet.clock
        until, given, number = clock.now() + seconds, [], 0
        while clock.now() < until:
            for router in routers or self.fleet.routers:
                number += 1
                if take(self.fleet, router, number):
                    given.append(clock.now())
            clock.advance(STEP)
        return given

    def test_the_fleet_stays_under_what_a_cold_target_bears(self) -> None:
        make_cold(self.fleet)
        given = self.offer(2.5)
        self.assertLessEqual(most_in_a_second(given), COLD_PER_SECOND)
        # A step of the clock rounds the time between two places up.
        self.assertGreaterEqual(len(given), 0.9 * KEEPER_PART * COLD_PER_SECOND * 2.5)

    def test_two_keepers_of_one_target_stay_under_its_bound_together(self) -> None:
        make_cold(self.fleet)
        halves = (self.fleet.routers[:30], self.fleet.routers[30:])
        for half in halves:
            for router in half:
                router.members.change([one.members.own for one in half])
        given = self.offer(2.5)
        self.assertLessEqual(most_in_a_second(given), OVERSHOOT * COLD_PER_SECOND + SLACK)

    def test_routers_without_their_keeper_take_their_part(self) -> None:
        make_cold(self.fleet)
        keeper = self.fleet.routers[0].client.owner_of(self.fleet.targets[0].incarnation)
        others = [one for one in self.fleet.routers if one.members.own.name != keeper]
        for router in others:
            router.client._peers = router.client._owner_health._peers = NoPeers()
        given = self.offer(2.5, others)
        self.assertLessEqual(most_in_a_second(given or [0.0]), COLD_PER_SECOND)

    def test_a_keeper_that_has_not_heard_it_yet_believes_who_asks(self) -> None:
        cold = [evolve(one, cold_seconds=COLD_SECONDS) for one in self.fleet.targets]
        keeper = self.fleet.routers[0].client.owner_of(self.fleet.targets[0].incarnation)
        others = [one for one in self.fleet.routers if one.members.own.name != keeper]
        for router in others:
            router.registry.apply(cold, [])
        given = self.offer(1.0, others)
        self.assertLessEqual(len(given), COLD_PER_SECOND)

    def test_a_warm_target_is_not_bound(self) -> None:
        make_cold(self.fleet)
        self.fleet.clock.advance(COLD_SECONDS + 0.01)
        self.assertEqual(ROUTERS, len(self.offer(STEP)))

    def test_the_same_announcement_read_again_does_not_begin_it_anew(self) -> None:
        make_cold(self.fleet)
        self.fleet.clock.advance(COLD_SECONDS - 0.5)
        make_cold(self.fleet)
        self.fleet.clock.advance(0.6)
        router = self.fleet.routers[0]
        self.assertEqual(UNLIMITED, router.cold.rate_limit(self.fleet.targets[0]))

    def test_a_target_turns_cold_again_at_any_moment(self) -> None:
        make_cold(self.fleet)
        self.fleet.clock.advance(60.0)
        make_cold(self.fleet, offset=2)
        self.assertLessEqual(len(self.offer(1.0)), COLD_PER_SECOND)

    def test_a_data_centre_taken_back_counts_as_cold_before_its_targets_say_so(self) -> None:
        target = AnnouncedTarget(
            id="e0", service="engine", address="127.0.0.1:0", data_centre="north", slots=SLOTS
        )
        for router in self.fleet.routers:
            router.registry.apply([target], [])
            router.registry.set_evacuated(frozenset(["north"]))
        self.fleet.clock.advance(5.0)
        self.assertEqual([], self.offer(0.1))
        for router in self.fleet.routers:
            router.registry.set_evacuated(frozenset())
        self.assertLessEqual(len(self.offer(1.0)), COLD_PER_SECOND)
        self.fleet.clock.advance(COLD_SECONDS)
        self.assertEqual(ROUTERS, len(self.offer(STEP)))

    def test_what_a_cold_target_does_not_bear_goes_to_a_warm_one_or_is_refused_truly(self) -> None:
        fleet = Fleet(2, routers=3, slots=SLOTS)
        for router in fleet.routers:
            router.registry.apply([evolve(fleet.targets[0], cold_seconds=COLD_SECONDS)], [])
        taken = [
            fleet.routers[n % 3].gate.acquire(fleet.request(number=n), frozenset())
            for n in range(30)
        ]
        self.assertTrue(all(one.is_ok() for one in taken))
        self.assertEqual({"e1"}, {one.unwrap().target.id for one in taken})
        make_cold(fleet, offset=5)
        refused = fleet.routers[0].gate.acquire(fleet.request(number=99), frozenset()).unwrap_err()
        self.assertGreater(refused.retry_after, 0)


if __name__ == "__main__":
    unittest.main()
