"""What is predicted of a target by the prompts that it was sent."""

from __future__ import annotations

import unittest

from loomyard_router.admission.prefill_estimate import PrefillEstimate
from loomyard_router.admission.prompt_queue import PromptQueue

PACE = PrefillEstimate(0.0, 10_000.0)


def ticket(number: int) -> tuple[str, int, int]:
    return ("r0", 1, number)


class PromptQueueTest(unittest.TestCase):
    def setUp(self) -> None:
        self.queue = PromptQueue()
        self.queue.model.believed = PACE

    def test_what_was_read_since_the_last_answer_is_not_ahead(self) -> None:
        self.queue.begin(ticket(1), 4_000.0, 0.0)
        self.assertAlmostEqual(4_000.0, self.queue.unread(0.0))
        self.assertAlmostEqual(1_000.0, self.queue.unread(0.3))

    def test_a_prompt_that_is_overdue_delays_all_behind_it(self) -> None:
        self.queue.begin(ticket(1), 1_000.0, 0.0)
        on_time = self.queue.first_event_in(1_000.0, 0.1)
        self.assertAlmostEqual(on_time + 0.2, self.queue.first_event_in(1_000.0, 0.3))

    def test_an_answer_that_is_lost_holds_nothing_up_for_long(self) -> None:
        self.queue.begin(ticket(1), 1_000.0, 0.0)
        self.assertTrue(self.queue.is_reading(0.3))
        self.assertFalse(self.queue.is_reading(0.5))
        self.assertAlmostEqual(0.1, self.queue.first_event_in(1_000.0, 0.5), delta=0.02)

    def test_one_that_a_later_one_overtook_is_not_ahead(self) -> None:
        self.queue.begin(ticket(1), 8_000.0, 0.0)
        self.queue.begin(ticket(2), 1_000.0, 0.0)
        self.assertTrue(self.queue.note_read(ticket(2), 0.5))
        self.assertFalse(self.queue.is_reading(0.5))
        self.assertTrue(self.queue.note_read(ticket(1), 0.6))
        self.assertFalse(self.queue.note_read(ticket(1), 0.7))

    def test_a_request_that_ended_is_not_ahead(self) -> None:
        self.queue.begin(ticket(1), 8_000.0, 0.0)
        self.queue.drop(ticket(1))
        self.assertEqual(0.0, self.queue.unread(0.0))
        self.assertFalse(self.queue.note_read(ticket(1), 0.1))

    def test_a_keeper_that_stood_still_finds_nothing_overdue(self) -> None:
        self.queue.begin(ticket(1), 1_000.0, 0.0)
        self.queue.postpone(5.0)
        self.assertTrue(self.queue.is_reading(5.05))
        self.assertAlmostEqual(0.15, self.queue.first_event_in(1_000.0, 5.05), delta=0.01)


if __name__ == "__main__":
    unittest.main()
