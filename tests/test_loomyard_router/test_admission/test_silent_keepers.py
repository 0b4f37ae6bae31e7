"""Who gives the places of a target whose keeper does not answer.

Load: eight of 63 routers lose power while callers ask for more than engines do. Membership takes
3.5 s to judge them; until then each router sent its part to their targets, blind to what the others
sent, and first events came after 936 ms in the median in place of 70 ms.
"""

from __future__ import annotations

import unittest

import gevent

from loomyard_router.admission.keeper_watch import PROBE_SECONDS
from loomyard_router.admission.target_loads import MIN_SLOTS
from test_loomyard_router.test_admission.slots_case import SLOTS, Fleet, Router

ROUTERS = 5


class SilentKeeperTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = Fleet(1, ROUTERS)
        self.life = self.fleet.targets[0].incarnation
        self.keeper = self.fleet.routers[0].client.owner_of(self.life)
        self.others = [one for one in self.fleet.routers if one.members.own.name != self.keeper]
        self.names = {one.members.own.name for one in self.others}

    def cut_keeper(self) -> None:
        self.fleet.network.cut({self.keeper}, self.names)

    def take(self, router: Router, number: int) -> bool:
        request = self.fleet.request(number=number, objective=0.01)
        return router.gate.acquire(request, frozenset()).is_ok()

    def take_in_turn(self, count: int) -> int:
        return sum(self.take(self.others[n % len(self.others)], n) for n in range(count))

    def test_all_that_miss_it_find_one_router_in_its_stead(self) -> None:
        self.cut_keeper()
        self.assertEqual(SLOTS, self.take_in_turn(3 * SLOTS))
        self.assertEqual(1, len({one.client.owner_of(self.life) for one in self.others}))

    def test_what_was_held_before_is_told_to_it(self) -> None:
        self.assertTrue(self.take(self.others[0], 0))
        self.assertTrue(self.take(self.others[1], 1))
        self.cut_keeper()
        for router in self.others[:2]:
            router.client._owner_health.note_silence(self.keeper, "cut")
        gevent.sleep(0.01)
        self.assertEqual(SLOTS - 2, self.take_in_turn(3 * SLOTS))

    def test_it_keeps_its_places_again_once_it_answers(self) -> None:
        self.cut_keeper()
        self.assertEqual(SLOTS, self.take_in_turn(SLOTS))
        gevent.sleep(0.01)
        self.fleet.network.heal()
        self.fleet.clock.advance(PROBE_SECONDS)
        gevent.sleep(0.05)
        for router in self.others:
            self.assertEqual(frozenset(), router.client.silent)
            self.assertEqual(self.keeper, router.client.owner_of(self.life))
        self.assertEqual(0, self.take_in_turn(SLOTS))

    def test_while_it_is_silent_it_stays_left_alone(self) -> None:
        self.cut_keeper()
        self.take_in_turn(SLOTS)
        for _ in range(3):
            self.fleet.clock.advance(PROBE_SECONDS)
            gevent.sleep(0.02)
        self.assertIn(self.keeper, self.others[0].client.silent)

    def test_a_router_that_hears_nobody_takes_its_part_only(self) -> None:
        alone = self.others[0]
        rest = {one.name for one in self.fleet.members} - {alone.members.own.name}
        self.fleet.network.cut({alone.members.own.name}, rest)
        self.assertEqual(MIN_SLOTS, sum(self.take(alone, n) for n in range(2 * SLOTS)))


if __name__ == "__main__":
    unittest.main()
