"""What a keeper of places concludes that stood still, or whose VM was suspended.

It heard nobody meanwhile, so silence says nothing of the routers that hold places at its targets;
freeing them all gives a target twice its places until everybody has stated what it holds.
"""

from __future__ import annotations

import unittest

import gevent

from loomyard_router.admission.place_keeper import SILENCE_SECONDS, SWEEP_SECONDS
from test_loomyard_router.test_admission.slots_case import SLOTS, Fleet


class KeeperPauseTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = Fleet(1)
        life = self.fleet.targets[0].incarnation
        by_name = {router.members.own.name: router for router in self.fleet.routers}
        keeper = self.fleet.routers[0].client.owner_of(life)
        self.keeper = by_name.pop(keeper)
        self.holder = next(iter(by_name.values()))
        for number in range(SLOTS):
            self.holder.gate.acquire(self.fleet.request(number=number), frozenset()).unwrap()
        self.keeper.keeper.start()
        self.addCleanup(self.keeper.keeper.stop)
        gevent.sleep(0)

    def has_place(self) -> bool:
        request = self.fleet.request(number=99, objective=0.01)
        return self.keeper.gate.acquire(request, frozenset()).is_ok()

    def pass_time(self, seconds: float) -> None:
        self.fleet.clock.advance(seconds)
        gevent.sleep(0)

    def test_who_was_silent_while_the_keeper_stood_still_keeps_its_places(self) -> None:
        self.pass_time(SILENCE_SECONDS + 2.0)
        self.assertFalse(self.has_place())

    def test_who_stays_silent_afterwards_loses_them(self) -> None:
        self.pass_time(SILENCE_SECONDS + 2.0)
        for _ in range(int(SILENCE_SECONDS / SWEEP_SECONDS) + 2):
            self.pass_time(SWEEP_SECONDS)
        self.assertTrue(self.has_place())


if __name__ == "__main__":
    unittest.main()
