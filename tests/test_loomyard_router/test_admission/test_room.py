"""How much of a target's room accounts find, so that none that waits gets half of another.

Seen: 63 routers, engines of 12 places. One account asked 63 routers for many times what engines
do, another one's callers all met one. Both were beyond their shares, at 2.5 and at 1.1 times, and
found the same half of the places; in six seconds they got 7.4 and 1.5 million tokens.
Cause: whoever is a little beyond its share found as little room as one that has got many times as
much, so what others left went to whoever asked most often.
"""

from __future__ import annotations

import unittest

from loomyard_router.admission.place_book import LEAST_PLACES, Ask, PlaceBook
from loomyard_router.admission.place_messages import PlaceRequest
from loomyard_router.admission.room import find_part

SLOTS = 12
SECONDS = 40.0
STEP = 0.05
# Each place comes free after this time; shares are compared over the window.
HELD_SECONDS = 2.0
WINDOW = 4.0
# Tries in a step: of one that is spread over the fleet and of one whose callers meet one router.
SPREAD, ALONE = 12, 2
# Users bound what one of two backlogged accounts gets by twice what the other gets.
BOUND = 2.0


class PartTest(unittest.TestCase):
    def test_up_to_its_share_an_account_finds_all(self) -> None:
        self.assertEqual([1.0, 1.0, 1.0], [find_part(used, 0.5) for used in (0.0, 0.5, 1.0)])

    def test_beyond_it_finds_less_the_more_it_got(self) -> None:
        self.assertEqual([0.75, 0.5, 0.5], [find_part(used, 0.5) for used in (1.5, 2.0, 9.0)])


class TwoBackloggedAccountsTest(unittest.TestCase):
    """Two accounts ask all the time for more than one target has."""

    def setUp(self) -> None:
        self.book = PlaceBook(SLOTS)
        self.used = {"spread": 0.0, "alone": 0.0}
        self.got = {"spread": 0, "alone": 0}
        self.ends: list[tuple[float, tuple[str, int, int]]] = []
        self.tickets = 0

    def ask(self, account: str, now: float) -> None:
        self.tickets += 1
        ticket = (account, 1, self.tickets)
        request = PlaceRequest(
            target="e0", slots=SLOTS, ticket=self.tickets, level=0, used=self.used[account]
        )
        ask = Ask(ticket, request)
        if self.book.admits(ask, now):
            self.book.grant(ask, now)
            self.ends.append((now + HELD_SECONDS, ticket))
            self.used[account] += self.part_of_share
            self.got[account] += now > WINDOW

    @property
    def part_of_share(self) -> float:
        """Return what one place is of a half of what the target does in a window."""
        return 1.0 / (SLOTS / HELD_SECONDS * WINDOW / 2)

    def play(self) -> None:
        for step in range(round(SECONDS / STEP)):
            now = step * STEP
            for end, ticket in self.ends:
                if end <= now:
                    self.book.release(ticket)
            self.ends = [one for one in self.ends if one[0] > now]
            asks = ["spread"] * SPREAD + ["alone"] * ALONE
            for turn in range(len(asks)):
                self.ask(asks[(turn + 5 * step) % len(asks)], now)
            for account in self.used:
                self.used[account] *= 1.0 - STEP / WINDOW

    def test_neither_gets_over_twice_what_the_other_gets(self) -> None:
        self.play()
        self.assertLessEqual(max(self.got.values()), BOUND * min(self.got.values()), self.got)

    def test_one_a_little_beyond_its_share_finds_what_those_within_theirs_leave(self) -> None:
        self.used |= {"small": 0.5, "alone": 1.1, "spread": 2.5}
        self.got["small"] = 0
        for _ in range(round(SLOTS * LEAST_PLACES) + 1):
            self.ask("small", 0.0)
        held = len(self.book.held)
        for _ in range(SLOTS):
            self.ask("spread", 0.0)
        self.assertEqual(held, len(self.book.held))
        self.ask("alone", 0.0)
        self.assertEqual(held + 1, len(self.book.held))

    def test_what_one_alone_asks_for_finds_half_of_the_places_at_least(self) -> None:
        self.used["spread"] = 50.0
        for _ in range(SLOTS):
            self.ask("spread", 0.0)
        self.assertGreaterEqual(len(self.book.held), SLOTS * LEAST_PLACES)


if __name__ == "__main__":
    unittest.main()
