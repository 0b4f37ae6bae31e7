"""Tests of how long a request waits for a place."""

from __future__ import annotations

import unittest

from loomyard_router.admission.waiting_time import wait_until
from test_loomyard_router.test_admission.slots_case import Fleet


class TestWaitUntil(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = Fleet(1)

    def test_within_the_share_a_request_waits_for_half_of_its_objective(self) -> None:
        # The first seconds of a fleet: nothing is kept anywhere, so all prompts are read whole.
        request = self.fleet.request(objective=0.4)
        self.assertAlmostEqual(0.2, wait_until(request, within_share=True) - request.arrived_at)

    def test_beyond_it_a_request_is_refused_while_others_can_still_serve_it_in_time(self) -> None:
        request = self.fleet.request(objective=0.4)
        self.assertAlmostEqual(0.072, wait_until(request, within_share=False) - request.arrived_at)

    def test_nothing_waits_beyond_its_deadline(self) -> None:
        request = self.fleet.request(objective=60.0)
        self.assertEqual(request.deadline, wait_until(request, within_share=True))


if __name__ == "__main__":
    unittest.main()
