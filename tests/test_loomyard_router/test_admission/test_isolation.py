"""Tests that requests under which targets crashed are isolated from each other.

A request that runs beside a poison request is suspected with it. At the next crash only one of the
suspected requests may run at the target, or they cannot be told apart.
"""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from loomyard_router.admission.slot_client import ISOLATION_THRESHOLD
from loomyard_router.admission.target_slots import ISOLATION_SECONDS
from test_loomyard_router.test_admission.slots_case import SLOTS, Fleet

if TYPE_CHECKING:
    from result import Result

    from loomyard.errors import Fault
    from loomyard_router.admission.slot_permit import SlotPermit

OBJECTIVE = 0.02


class IsolationTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = Fleet(2)

    def acquire(self, number: int, crash_count: int, **head: object) -> Result[SlotPermit, Fault]:
        request = self.fleet.request(number=number, objective=OBJECTIVE, **head)
        request.body = f"body {number}".encode()
        request.crash_count = crash_count
        return self.fleet.routers[number % 3].gate.acquire(request, frozenset())

    def test_two_suspected_requests_never_start_at_one_target(self) -> None:
        first, second = (self.acquire(n, ISOLATION_THRESHOLD).unwrap() for n in range(2))
        self.assertNotEqual(first.target, second.target)
        self.assertTrue(self.acquire(2, ISOLATION_THRESHOLD).is_err())
        first.release()
        self.assertEqual(first.target, self.acquire(4, ISOLATION_THRESHOLD).unwrap().target)

    def test_isolation_ends_after_some_time(self) -> None:
        for number in range(2):
            self.acquire(number, ISOLATION_THRESHOLD).unwrap()
        self.fleet.clock.advance(ISOLATION_SECONDS)
        self.assertTrue(self.acquire(2, ISOLATION_THRESHOLD).is_ok())

    def test_other_requests_get_slots_beside_a_suspected_one(self) -> None:
        self.acquire(0, ISOLATION_THRESHOLD).unwrap()
        for number in range(1, 2 * SLOTS):
            self.assertTrue(self.acquire(number, number % ISOLATION_THRESHOLD).is_ok())

    def test_without_a_responsive_slot_owner_a_suspected_request_gets_no_slot(self) -> None:
        """Suspected requests that used a router's quota met at one engine, and it crashed.

        A harmless one had then run at all three crashes with the poison request, and was refused
        like it.
        """
        fleet = Fleet(1)
        owner = fleet.routers[0].client.owner_of(fleet.targets[0].incarnation)
        router = next(one for one in fleet.routers if one.members.own.name != owner)
        fleet.network.cut({owner}, {router.members.own.name})
        for crash_count, granted in ((ISOLATION_THRESHOLD, False), (0, True)):
            request = fleet.request(number=crash_count, objective=OBJECTIVE)
            request.crash_count = crash_count
            self.assertEqual(granted, router.gate.acquire(request, frozenset()).is_ok())

    def test_suspected_requests_with_a_shared_prompt_are_ranked_differently(self) -> None:
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
