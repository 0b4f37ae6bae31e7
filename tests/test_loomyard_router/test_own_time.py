"""Tests of waits for others in a process that is late itself.

The load: one router of many met by all callers of the large accounts. Its loop was behind by more
than the 60 ms that a keeper has to answer, so it took keepers that had answered for silent, left
them alone for half a second and refused half of its requests within 28 ms, while engines had room.
"""

from __future__ import annotations

import unittest
from collections.abc import Callable

from attrs import define, field

from loomyard_router.own_time import MOST_DRAWN_OUT, AnswerWait
from loomyard_standins.fake_clock import FakeClock

REPLY_SECONDS = 0.06
PROMPT = 0.006


@define(eq=False)
class LateLoop:
    """Turns of a loop that take some time each; what came to the socket is read in one of them."""

    clock: FakeClock
    lags: list[float]
    read_in: int
    read: Callable[[], None]
    turns: int = field(default=0)

    def turn(self, _: object) -> float:
        lag = self.lags[min(self.turns, len(self.lags) - 1)]
        self.turns += 1
        self.clock.advance(lag)
        if self.turns == self.read_in:
            self.read()
        return lag


class AnswerWaitTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock()

    def wait(
        self, lags: list[float], *, read_in: int = 0, sent_after: float | None = 0.0
    ) -> tuple[bool, int]:
        """Wait for an answer that a turn reads; the time of the deadline has passed by then."""
        wait = AnswerWait(self.clock, self.clock.now() + REPLY_SECONDS)
        loop = LateLoop(self.clock, lags, read_in, lambda: wait.settle("answer"))
        wait.turn = loop.turn
        if sent_after is not None:
            self.clock.advance(sent_after)
            wait.note_sent()
        self.clock.advance(REPLY_SECONDS)
        return wait.wait(), loop.turns

    def test_an_answer_that_lies_unread_at_the_deadline_counts(self) -> None:
        came, turns = self.wait([0.05], read_in=1)
        self.assertTrue(came)
        self.assertEqual(1, turns)

    def test_a_loop_that_stays_behind_goes_on_reading(self) -> None:
        came, _ = self.wait([0.05, 0.05, 0.05], read_in=3)
        self.assertTrue(came)

    def test_one_that_is_not_behind_judges_after_one_turn(self) -> None:
        came, turns = self.wait([0.0])
        self.assertFalse(came)
        self.assertEqual(1, turns)

    def test_it_ends_however_late_this_process_is(self) -> None:
        came, _ = self.wait([0.09])
        self.assertFalse(came)
        self.assertLessEqual(self.clock.now(), REPLY_SECONDS + MOST_DRAWN_OUT + 0.09)

    def test_the_other_side_has_its_time_from_when_the_question_left(self) -> None:
        wait = AnswerWait(self.clock, self.clock.now() + REPLY_SECONDS)
        self.clock.advance(0.05)
        wait.note_sent()
        self.assertAlmostEqual(0.05 + REPLY_SECONDS, wait._due)

    def test_a_question_that_did_not_leave_yet_is_no_silence(self) -> None:
        wait = AnswerWait(self.clock, self.clock.now() + REPLY_SECONDS)
        self.clock.advance(0.1)
        self.assertAlmostEqual(0.1 + REPLY_SECONDS, wait._due)


if __name__ == "__main__":
    unittest.main()
