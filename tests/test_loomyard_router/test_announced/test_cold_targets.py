"""Tests that the whole fleet together stays within the rate limit of a cold target."""

from __future__ import annotations

import unittest

from attrs import evolve

from loomyard_router.announced.announced_target import AnnouncedTarget
from loomyard_router.announced.cold_targets import OWNER_FRACTION, UNLIMITED
from loomyard_router.feeds.feed_position import FeedPosition
from loomyard_router.peers.no_peers import NoPeers
from test_loomyard_router.test_admission.slots_case import (
    COLD_PER_SECOND,
    COLD_SECONDS,
    Fleet,
    Router,
)

# Users accept half more than the rate limit of a cold target, and five more in any one second.
OVERSHOOT, SLACK = 1.5, 5
ROUTERS = 60
STEP = 0.02
SLOTS = 1000


def announce_cold(fleet: Fleet, *, offset: int = 1, seconds: float = COLD_SECONDS) -> None:
    """Announce to all routers that all targets are cold."""
    targets = [
        evolve(one, cold_seconds=seconds, position=FeedPosition(0, offset)) for one in fleet.targets
    ]
    for router in fleet.routers:
        router.registry.apply(targets, [])


def acquire(fleet: Fleet, router: Router, number: int) -> bool:
    return router.gate.acquire(fleet.request(number=number), frozenset()).is_ok()


def max_per_second(times: list[float]) -> int:
    return max(sum(1 for at in times if start <= at < start + 1.0) for start in times)


class ColdTargetsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = Fleet(1, routers=ROUTERS, slots=SLOTS)

    def offer(self, seconds: float, routers: list[Router] | None = None) -> list[float]:
        """Request a slot at each router in each step; return the times of the grants."""
        clock = self.fleet.clock
        until, granted, number = clock.now() + seconds, [], 0
        while clock.now() < until:
            for router in routers or self.fleet.routers:
                number += 1
                if acquire(self.fleet, router, number):
                    granted.append(clock.now())
            clock.advance(STEP)
        return granted

    def test_the_whole_fleet_stays_within_the_rate_limit_of_a_cold_target(self) -> None:
        announce_cold(self.fleet)
        granted = self.offer(2.5)
        self.assertLessEqual(max_per_second(granted), COLD_PER_SECOND)
        # The step of the clock rounds up the time between two grants.
        self.assertGreaterEqual(len(granted), 0.9 * OWNER_FRACTION * COLD_PER_SECOND * 2.5)

    def test_two_owners_of_one_target_exceed_its_rate_limit_by_half_at_most(self) -> None:
        announce_cold(self.fleet)
        halves = (self.fleet.routers[:30], self.fleet.routers[30:])
        for half in halves:
            for router in half:
                router.members.change([one.members.own for one in half])
        granted = self.offer(2.5)
        self.assertLessEqual(max_per_second(granted), OVERSHOOT * COLD_PER_SECOND + SLACK)

    def test_routers_that_do_not_reach_the_owner_stay_within_the_rate_limit(self) -> None:
        announce_cold(self.fleet)
        owner = self.fleet.routers[0].client.owner_of(self.fleet.targets[0].incarnation)
        others = [one for one in self.fleet.routers if one.members.own.name != owner]
        for router in others:
            router.client._peers = router.client._owner_health._peers = NoPeers()
        granted = self.offer(2.5, others)
        self.assertLessEqual(max_per_second(granted or [0.0]), COLD_PER_SECOND)

    def test_an_owner_that_does_not_know_yet_applies_the_limit_of_the_asking_router(self) -> None:
        cold = [evolve(one, cold_seconds=COLD_SECONDS) for one in self.fleet.targets]
        owner = self.fleet.routers[0].client.owner_of(self.fleet.targets[0].incarnation)
        others = [one for one in self.fleet.routers if one.members.own.name != owner]
        for router in others:
            router.registry.apply(cold, [])
        granted = self.offer(1.0, others)
        self.assertLessEqual(len(granted), COLD_PER_SECOND)

    def test_a_warm_target_is_not_limited(self) -> None:
        announce_cold(self.fleet)
        self.fleet.clock.advance(COLD_SECONDS + 0.01)
        self.assertEqual(ROUTERS, len(self.offer(STEP)))

    def test_the_same_announcement_read_again_does_not_extend_the_cold_start(self) -> None:
        announce_cold(self.fleet)
        self.fleet.clock.advance(COLD_SECONDS - 0.5)
        announce_cold(self.fleet)
        self.fleet.clock.advance(0.6)
        router = self.fleet.routers[0]
        self.assertEqual(UNLIMITED, router.cold.rate_limit(self.fleet.targets[0]))

    def test_a_later_announcement_makes_a_target_cold_again(self) -> None:
        announce_cold(self.fleet)
        self.fleet.clock.advance(60.0)
        announce_cold(self.fleet, offset=2)
        self.assertLessEqual(len(self.offer(1.0)), COLD_PER_SECOND)

    def test_targets_of_a_reinstated_data_centre_are_cold_before_they_announce_it(self) -> None:
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

    def test_requests_beyond_the_rate_limit_go_to_a_warm_target_or_get_a_retry_time(self) -> None:
        fleet = Fleet(2, routers=3, slots=SLOTS)
        for router in fleet.routers:
            router.registry.apply([evolve(fleet.targets[0], cold_seconds=COLD_SECONDS)], [])
        permits = [
            fleet.routers[n % 3].gate.acquire(fleet.request(number=n), frozenset())
            for n in range(30)
        ]
        self.assertTrue(all(one.is_ok() for one in permits))
        self.assertEqual({"e1"}, {one.unwrap().target.id for one in permits})
        announce_cold(fleet, offset=5)
        refused = fleet.routers[0].gate.acquire(fleet.request(number=99), frozenset()).unwrap_err()
        self.assertGreater(refused.retry_after, 0)


if __name__ == "__main__":
    unittest.main()
