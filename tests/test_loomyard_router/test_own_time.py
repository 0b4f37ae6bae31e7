"""Tests of waits for answers in a process whose own event loop lags.

A router that gets most of the load lags by more than the 60 ms that a slot owner has to answer. If
it counted its own lag, it would treat owners that answered in time as unresponsive, avoid them for
half a second and refuse half of its requests while engines have free slots.
"""

from __future__ import annotations

import unittest
from collections.abc import Callable

from attrs import define, field

from loomyard_router.answer_wait import MAX_EXTENSION_SECONDS, AnswerWait
from loomyard_standins.fake_clock import FakeClock

REPLY_SECONDS = 0.06
PROMPT = 0.006


@define(eq=False)
class LaggingLoop:
    """Loop passes with a given lag each; pass number ``read_in`` reads the answer."""

    clock: FakeClock
    lags: list[float]
    read_in: int
    read: Callable[[], None]
    passes: int = field(default=0)

    def run_pass(self, _: object) -> float:
        lag = self.lags[min(self.passes, len(self.lags) - 1)]
        self.passes += 1
        self.clock.advance(lag)
        if self.passes == self.read_in:
            self.read()
        return lag


class AnswerWaitTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock()

    def wait(
        self, lags: list[float], *, read_in: int = 0, sent_after: float | None = 0.0
    ) -> tuple[bool, int]:
        """Wait for an answer read after its deadline; return whether it came, and the passes."""
        wait = AnswerWait(self.clock, self.clock.now() + REPLY_SECONDS)
        loop = LaggingLoop(self.clock, lags, read_in, lambda: wait.set_answer("answer"))
        wait.loop_pass = loop.run_pass
        if sent_after is not None:
            self.clock.advance(sent_after)
            wait.record_sent()
        self.clock.advance(REPLY_SECONDS)
        return wait.wait(), loop.passes

    def test_an_answer_that_is_unread_at_the_deadline_counts(self) -> None:
        came, passes = self.wait([0.05], read_in=1)
        self.assertTrue(came)
        self.assertEqual(1, passes)

    def test_a_loop_that_keeps_lagging_keeps_reading(self) -> None:
        came, _ = self.wait([0.05, 0.05, 0.05], read_in=3)
        self.assertTrue(came)

    def test_a_loop_without_lag_gives_up_after_one_pass(self) -> None:
        came, passes = self.wait([0.0])
        self.assertFalse(came)
        self.assertEqual(1, passes)

    def test_the_extension_is_bounded_whatever_the_lag(self) -> None:
        came, _ = self.wait([0.09])
        self.assertFalse(came)
        self.assertLessEqual(self.clock.now(), REPLY_SECONDS + MAX_EXTENSION_SECONDS + 0.09)

    def test_the_time_of_the_peer_starts_when_the_request_is_sent(self) -> None:
        wait = AnswerWait(self.clock, self.clock.now() + REPLY_SECONDS)
        self.clock.advance(0.05)
        wait.record_sent()
        self.assertAlmostEqual(0.05 + REPLY_SECONDS, wait._answer_due)

    def test_the_time_of_the_peer_does_not_start_before_the_request_is_sent(self) -> None:
        wait = AnswerWait(self.clock, self.clock.now() + REPLY_SECONDS)
        self.clock.advance(0.1)
        self.assertAlmostEqual(0.1 + REPLY_SECONDS, wait._answer_due)


if __name__ == "__main__":
    unittest.main()
