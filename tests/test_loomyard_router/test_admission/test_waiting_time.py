"""Tests of how long a request waits for a slot."""

from __future__ import annotations

import unittest

from loomyard_router.admission.waiting_time import find_wait_deadline
from test_loomyard_router.test_admission.slots_case import Fleet


class TestWaitDeadline(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = Fleet(1)

    def test_within_the_share_a_request_waits_for_half_of_its_objective(self) -> None:
        # As in the first seconds of a fleet: no prefix is cached, so all prompts are read whole.
        request = self.fleet.request(objective=0.4)
        self.assertAlmostEqual(
            0.2, find_wait_deadline(request, within_share=True) - request.arrived_at
        )

    def test_over_the_share_a_request_is_refused_while_another_router_can_serve_it_in_time(
        self,
    ) -> None:
        request = self.fleet.request(objective=0.4)
        self.assertAlmostEqual(
            0.072, find_wait_deadline(request, within_share=False) - request.arrived_at
        )

    def test_no_request_waits_beyond_its_deadline(self) -> None:
        request = self.fleet.request(objective=60.0)
        self.assertEqual(request.deadline, find_wait_deadline(request, within_share=True))


if __name__ == "__main__":
    unittest.main()
