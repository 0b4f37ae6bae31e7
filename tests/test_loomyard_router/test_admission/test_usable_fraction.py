"""Tests of the fraction of a target's slots that an account over its share may use.

Guards against this: with 63 routers and engines of 12 slots one account sends requests to all
routers for many times the capacity, another one to a single router. They are at 2.5 and 1.1 times
their shares and may both use the same half of the slots. In six seconds they get 7.4 and 1.5
million tokens: the slots that other accounts leave go to the account with the most requests.
"""

from __future__ import annotations

import unittest

from loomyard_router.admission.slot_messages import SlotRequest
from loomyard_router.admission.target_slots import MIN_SLOT_FRACTION, PendingRequest, TargetSlots
from loomyard_router.admission.usable_fraction import find_usable_fraction

SLOTS = 12
SECONDS = 40.0
STEP = 0.05
# Each permit is held for this time; usage is counted over the window.
HELD_SECONDS = 2.0
WINDOW = 4.0
# Requests in each step: of the account that uses all routers, and of the one that uses one.
SPREAD, ALONE = 12, 2
# The users' bound on the ratio of the usage of two backlogged accounts.
BOUND = 2.0


class UsableFractionTest(unittest.TestCase):
    def test_up_to_its_share_an_account_may_use_all_slots(self) -> None:
        self.assertEqual(
            [1.0, 1.0, 1.0], [find_usable_fraction(used, 0.5) for used in (0.0, 0.5, 1.0)]
        )

    def test_over_its_share_an_account_may_use_fewer_slots_the_more_it_used(self) -> None:
        self.assertEqual(
            [0.75, 0.5, 0.5], [find_usable_fraction(used, 0.5) for used in (1.5, 2.0, 9.0)]
        )


class TwoBackloggedAccountsTest(unittest.TestCase):
    """Two accounts whose demand always exceeds the slots of one target."""

    def setUp(self) -> None:
        self.slots = TargetSlots(SLOTS)
        self.share_used = {"spread": 0.0, "alone": 0.0}
        self.granted = {"spread": 0, "alone": 0}
        self.ends: list[tuple[float, tuple[str, int, int]]] = []
        self.permits = 0

    def request(self, account: str, now: float) -> None:
        self.permits += 1
        permit = (account, 1, self.permits)
        request = SlotRequest(
            target="e0",
            slots=SLOTS,
            permit=self.permits,
            usage=0,
            share_used=self.share_used[account],
        )
        pending = PendingRequest(permit, request)
        if self.slots.admits(pending, now):
            self.slots.grant(pending, now)
            self.ends.append((now + HELD_SECONDS, permit))
            self.share_used[account] += self.part_of_share
            self.granted[account] += now > WINDOW

    @property
    def part_of_share(self) -> float:
        """Return one request as a fraction of half the requests served in a window."""
        return 1.0 / (SLOTS / HELD_SECONDS * WINDOW / 2)

    def play(self) -> None:
        for step in range(round(SECONDS / STEP)):
            now = step * STEP
            for end, permit in self.ends:
                if end <= now:
                    self.slots.release(permit)
            self.ends = [one for one in self.ends if one[0] > now]
            requests = ["spread"] * SPREAD + ["alone"] * ALONE
            for turn in range(len(requests)):
                self.request(requests[(turn + 5 * step) % len(requests)], now)
            for account in self.share_used:
                self.share_used[account] *= 1.0 - STEP / WINDOW

    def test_neither_account_is_granted_over_twice_as_much_as_the_other(self) -> None:
        self.play()
        self.assertLessEqual(
            max(self.granted.values()), BOUND * min(self.granted.values()), self.granted
        )

    def test_an_account_little_over_its_share_may_use_what_those_within_theirs_leave(self) -> None:
        self.share_used |= {"small": 0.5, "alone": 1.1, "spread": 2.5}
        self.granted["small"] = 0
        for _ in range(round(SLOTS * MIN_SLOT_FRACTION) + 1):
            self.request("small", 0.0)
        held = len(self.slots.held)
        for _ in range(SLOTS):
            self.request("spread", 0.0)
        self.assertEqual(held, len(self.slots.held))
        self.request("alone", 0.0)
        self.assertEqual(held + 1, len(self.slots.held))

    def test_an_account_far_over_its_share_may_use_half_of_the_slots(self) -> None:
        self.share_used["spread"] = 50.0
        for _ in range(SLOTS):
            self.request("spread", 0.0)
        self.assertGreaterEqual(len(self.slots.held), SLOTS * MIN_SLOT_FRACTION)


if __name__ == "__main__":
    unittest.main()
