"""Tests of the prefill estimates that routers share, and of the weights made from them."""

from __future__ import annotations

import unittest

from loomyard_router.admission.prefill_estimate import PrefillEstimate
from loomyard_router.admission.slot_messages import PromptsRead, SlotRequest, SlotsReleased
from loomyard_router.admission.target_estimates import TargetEstimates
from loomyard_router.announced.target_incarnation import TargetLife
from test_loomyard_router.test_admission.slots_case import Fleet

SLOW, USUAL, FAST = (PrefillEstimate(0.02, speed) for speed in (35_000.0, 50_000.0, 85_000.0))
INCARNATIONS = [TargetLife(name) for name in ("a", "b", "c", "d")]


class TargetEstimatesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.estimates = TargetEstimates()
        for incarnation, estimate in zip(INCARNATIONS, (SLOW, USUAL, FAST), strict=False):
            self.estimates.record(incarnation, estimate)

    def test_weights_follow_the_prefill_speed_in_steps(self) -> None:
        weights = self.estimates.weights(INCARNATIONS)
        self.assertEqual([0.71, 1.0, 2.0, 1.0], [round(weights[one], 2) for one in INCARNATIONS])

    def test_a_small_change_of_speed_changes_no_weight(self) -> None:
        before = self.estimates.weights(INCARNATIONS)
        self.estimates.record(INCARNATIONS[0], PrefillEstimate(0.02, 37_000.0))
        self.assertEqual(before, self.estimates.weights(INCARNATIONS))

    def test_the_prior_of_a_target_without_estimate_is_the_median_of_others(self) -> None:
        self.assertEqual(USUAL, self.estimates.find_prior(INCARNATIONS[3], INCARNATIONS))
        self.assertEqual(FAST, self.estimates.find_prior(INCARNATIONS[2], INCARNATIONS))

    def test_the_estimate_of_an_incarnation_that_is_gone_is_dropped(self) -> None:
        self.estimates.retain(set(INCARNATIONS[1:]))
        self.assertNotIn(INCARNATIONS[0], self.estimates.all())


class NewOwnerTest(unittest.TestCase):
    def test_a_new_slot_owner_starts_from_the_estimates_of_other_routers(self) -> None:
        fleet = Fleet(1)
        incarnation = fleet.targets[0].incarnation
        first = fleet.routers[0].client.owner_of(incarnation)
        owner = next(one for one in fleet.routers if one.members.own.name == first)
        others = [one for one in fleet.routers if one is not owner]
        requester = others[0].members.own
        for number in range(1, 30):
            request = SlotRequest(
                target=incarnation, slots=9, permit=number, usage=0, prompt_tokens=5_000
            )
            self.assertTrue(owner.slot_owner.request(requester, request).granted)
            fleet.clock.advance(0.25)
            owner.slot_owner.record_first_tokens(requester, PromptsRead(permits=[number]))
            owner.slot_owner.release(requester, SlotsReleased(permits=[number]))
        request = fleet.request(prompt_tokens=5_000, objective=9.0)
        others[0].gate.acquire(request, frozenset()).unwrap()
        received = others[0].estimates.all()[incarnation]
        self.assertAlmostEqual(0.25, received.seconds(5_000), delta=0.05)
        fleet.network.leave(first)
        live = [member for member in fleet.members if member.name != first]
        for router in others:
            router.members.change(live)
        fleet.clock.advance(0.0)
        following = next(
            one for one in others if one.members.own.name == others[0].client.owner_of(incarnation)
        )
        self.assertEqual(received, following.slot_owner._slots[incarnation].prefills.model.prior)


if __name__ == "__main__":
    unittest.main()
