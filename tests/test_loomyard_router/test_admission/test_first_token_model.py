"""Tests that the estimate of time to first token follows the target and ignores outliers.

Load: engines at 0.7 to 1.7 times the usual speed that are slow for 600 ms at a time, and 7 prompts
a second of 500 to 30,000 tokens each.
"""

from __future__ import annotations

import random
import unittest

from loomyard_router.admission.first_token_model import DECAY_SECONDS, FirstTokenModel
from loomyard_router.admission.prefill_estimate import PrefillEstimate

PROMPTS_PER_SECOND = 7
# Prompts are sent where the predicted time is at most three quarters of their objective. With an
# error of a quarter of the time, or of a sixth of the shortest objective of 300 ms, they are still
# answered in time.
TOLERANCE = 0.25
TOLERANCE_SECONDS = 0.05


class FirstTokenModelTest(unittest.TestCase):
    def setUp(self) -> None:
        self.model = FirstTokenModel()
        self.random = random.Random(5)
        self.now = 0.0

    def play(self, estimate: PrefillEstimate, seconds: float) -> None:
        for _ in range(round(seconds * PROMPTS_PER_SECOND)):
            self.now += 1.0 / PROMPTS_PER_SECOND
            tokens = self.random.uniform(500.0, 30_000.0)
            self.model.record(tokens, estimate.seconds(tokens), self.now)

    def assert_close(self, estimate: PrefillEstimate, tokens: float = 10_000.0) -> None:
        expected = estimate.seconds(tokens)
        predicted = self.model.estimate(self.now).seconds(tokens)
        self.assertAlmostEqual(
            expected, predicted, delta=max(TOLERANCE_SECONDS, TOLERANCE * expected)
        )

    def test_fixed_delay_and_prefill_speed_are_separated(self) -> None:
        estimate = PrefillEstimate(0.06, 40_000.0)
        self.play(estimate, 4.0)
        for tokens in (500.0, 4_000.0, 30_000.0):
            self.assert_close(estimate, tokens)

    def test_one_answer_that_hung_does_not_distort_the_estimate(self) -> None:
        estimate = PrefillEstimate(0.02, 60_000.0)
        self.play(estimate, 4.0)
        self.model.record(10_000.0, 9.0, self.now)
        self.assert_close(estimate)

    def test_the_estimate_recovers_within_seconds_after_a_slow_period(self) -> None:
        estimate = PrefillEstimate(0.02, 60_000.0)
        self.play(estimate, 4.0)
        self.play(PrefillEstimate(0.1, 12_000.0), 0.6)
        self.play(estimate, 2 * DECAY_SECONDS)
        self.assert_close(estimate)

    def test_a_permanent_slowdown_is_detected_within_seconds(self) -> None:
        self.play(PrefillEstimate(0.02, 60_000.0), 4.0)
        slow = PrefillEstimate(0.04, 20_000.0)
        self.play(slow, 2 * DECAY_SECONDS)
        self.assert_close(slow)

    def test_without_answers_the_estimate_returns_to_the_prior(self) -> None:
        self.model.prior = PrefillEstimate(0.02, 50_000.0)
        self.play(PrefillEstimate(0.1, 10_000.0), 4.0)
        self.now += 5 * DECAY_SECONDS
        self.assert_close(self.model.prior)

    def test_an_answer_without_duration_is_ignored(self) -> None:
        before = self.model.estimate(self.now)
        self.model.record(10_000.0, 0.0, self.now)
        self.assertEqual(before, self.model.estimate(self.now))


if __name__ == "__main__":
    unittest.main()
