"""Tests that requests under which targets ended run apart from each other.

Whoever runs beside a request that ends targets is blamed with it; at the next end only one of those
that were there may be there again, or the innocent are not told from the guilty.
"""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from loomyard_router.admission.place_book import APART_SECONDS
from loomyard_router.admission.place_client import APART_LEVEL
from test_loomyard_router.test_admission.slots_case import SLOTS, Fleet

if TYPE_CHECKING:
    from result import Result

    from loomyard.errors import Fault
    from loomyard_router.admission.slot_permit import SlotPermit

OBJECTIVE = 0.02


class ApartTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = Fleet(2)

    def take(self, number: int, suspicion: int, **head: object) -> Result[SlotPermit, Fault]:
        request = self.fleet.request(number=number, objective=OBJECTIVE, **head)
        request.body = f"body {number}".encode()
        request.crash_count = suspicion
        return self.fleet.routers[number % 3].gate.acquire(request, frozenset())

    def test_two_of_them_never_begin_at_one_target(self) -> None:
        first, second = (self.take(n, APART_LEVEL).unwrap() for n in range(2))
        self.assertNotEqual(first.target, second.target)
        self.assertTrue(self.take(2, APART_LEVEL).is_err())
        first.release()
        self.assertEqual(first.target, self.take(4, APART_LEVEL).unwrap().target)

    def test_one_that_has_run_for_some_time_keeps_nobody_away(self) -> None:
        for number in range(2):
            self.take(number, APART_LEVEL).unwrap()
        self.fleet.clock.advance(APART_SECONDS)
        self.assertTrue(self.take(2, APART_LEVEL).is_ok())

    def test_all_other_requests_find_their_places(self) -> None:
        self.take(0, APART_LEVEL).unwrap()
        for number in range(1, 2 * SLOTS):
            self.assertTrue(self.take(number, number % APART_LEVEL).is_ok())

    def test_without_a_keeper_that_answers_none_of_them_finds_a_place(self) -> None:
        """In the soak four of them took a router's own part of one engine, which one of them ended.

        A harmless one had run at all three ends with the guilty one then, and was refused with it.
        """
        fleet = Fleet(1)
        keeper = fleet.routers[0].client.owner_of(fleet.targets[0].incarnation)
        router = next(one for one in fleet.routers if one.members.own.name != keeper)
        fleet.network.cut({keeper}, {router.members.own.name})
        for suspicion, placed in ((APART_LEVEL, False), (0, True)):
            request = fleet.request(number=suspicion, objective=OBJECTIVE)
            request.crash_count = suspicion
            self.assertEqual(placed, router.gate.acquire(request, frozenset()).is_ok())

    def test_those_that_ran_together_go_different_ways_though_they_share_a_prompt(self) -> None:
        fleet = Fleet(6, slots=100)
        targets = set()
        for number in range(30):
            request = fleet.request(number=number)
            request.body = f"body {number}".encode()
            request.crash_count = 1
            targets.add(fleet.routers[0].gate.acquire(request, frozenset()).unwrap().target.id)
        self.assertEqual(6, len(targets))


if __name__ == "__main__":
    unittest.main()
