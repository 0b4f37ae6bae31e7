"""Tests of a slot owner whose process paused, or whose VM was suspended.

No renewals could arrive during the pause. If it expired all permits for that, its targets would get
twice as many requests as they have slots, until all routers have renewed.
"""

from __future__ import annotations

import unittest

import gevent

from loomyard_router.admission.slot_owner import EXPIRY_SECONDS, SWEEP_SECONDS
from test_loomyard_router.test_admission.slots_case import SLOTS, Fleet


class OwnerPauseTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = Fleet(1)
        incarnation = self.fleet.targets[0].incarnation
        by_name = {router.members.own.name: router for router in self.fleet.routers}
        owner = self.fleet.routers[0].client.owner_of(incarnation)
        self.owner = by_name.pop(owner)
        self.holder = next(iter(by_name.values()))
        for number in range(SLOTS):
            self.holder.gate.acquire(self.fleet.request(number=number), frozenset()).unwrap()
        self.owner.slot_owner.start()
        self.addCleanup(self.owner.slot_owner.stop)
        gevent.sleep(0)

    def has_free_slot(self) -> bool:
        request = self.fleet.request(number=99, objective=0.01)
        return self.owner.gate.acquire(request, frozenset()).is_ok()

    def pass_time(self, seconds: float) -> None:
        self.fleet.clock.advance(seconds)
        gevent.sleep(0)

    def test_permits_that_were_not_renewed_during_a_pause_of_the_owner_are_kept(self) -> None:
        self.pass_time(EXPIRY_SECONDS + 2.0)
        self.assertFalse(self.has_free_slot())

    def test_permits_that_are_not_renewed_after_the_pause_expire(self) -> None:
        self.pass_time(EXPIRY_SECONDS + 2.0)
        for _ in range(int(EXPIRY_SECONDS / SWEEP_SECONDS) + 2):
            self.pass_time(SWEEP_SECONDS)
        self.assertTrue(self.has_free_slot())


if __name__ == "__main__":
    unittest.main()
