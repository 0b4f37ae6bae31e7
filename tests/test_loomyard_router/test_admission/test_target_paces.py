"""What routers tell each other of how fast targets begin their answers."""

from __future__ import annotations

import unittest

from loomyard_router.admission.place_messages import PlaceRequest, PlacesReleased, PromptsRead
from loomyard_router.admission.prefill_estimate import PrefillEstimate
from loomyard_router.admission.target_paces import TargetPaces
from loomyard_router.announced.target_incarnation import TargetIncarnation
from test_loomyard_router.test_admission.slots_case import Fleet

SLOW, USUAL, FAST = (PrefillEstimate(0.02, pace) for pace in (35_000.0, 50_000.0, 85_000.0))
LIVES = [TargetIncarnation(name) for name in ("a", "b", "c", "d")]


class TargetPacesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.paces = TargetPaces()
        for life, pace in zip(LIVES, (SLOW, USUAL, FAST), strict=False):
            self.paces.hear(life, pace)

    def test_weights_follow_the_pace_in_steps(self) -> None:
        weights = self.paces.weights(LIVES)
        self.assertEqual([0.71, 1.0, 2.0, 1.0], [round(weights[life], 2) for life in LIVES])

    def test_a_small_change_moves_no_weight(self) -> None:
        before = self.paces.weights(LIVES)
        self.paces.hear(LIVES[0], PrefillEstimate(0.02, 37_000.0))
        self.assertEqual(before, self.paces.weights(LIVES))

    def test_one_of_which_nothing_was_heard_is_believed_the_usual(self) -> None:
        self.assertEqual(USUAL, self.paces.believed(LIVES[3], LIVES))
        self.assertEqual(FAST, self.paces.believed(LIVES[2], LIVES))

    def test_a_life_that_is_gone_is_forgotten(self) -> None:
        self.paces.forget(set(LIVES[1:]))
        self.assertNotIn(LIVES[0], self.paces.all())


class HandedOverTest(unittest.TestCase):
    def test_the_next_keeper_begins_with_what_was_heard(self) -> None:
        fleet = Fleet(1)
        life = fleet.targets[0].incarnation
        first = fleet.routers[0].client.owner_of(life)
        keeper = next(one for one in fleet.routers if one.members.own.name == first)
        others = [one for one in fleet.routers if one is not keeper]
        asker = others[0].members.own
        for number in range(1, 30):
            request = PlaceRequest(target=life, slots=9, ticket=number, level=0, prompt=5_000)
            self.assertTrue(keeper.keeper.ask(asker, request).granted)
            fleet.clock.advance(0.25)
            keeper.keeper.note_read(asker, PromptsRead(tickets=[number]))
            keeper.keeper.release(asker, PlacesReleased(tickets=[number]))
        request = fleet.request(prompt_tokens=5_000, objective=9.0)
        others[0].gate.acquire(request, frozenset()).unwrap()
        heard = others[0].paces.all()[life]
        self.assertAlmostEqual(0.25, heard.seconds(5_000), delta=0.05)
        fleet.network.leave(first)
        live = [member for member in fleet.members if member.name != first]
        for router in others:
            router.members.change(live)
        fleet.clock.advance(0.0)
        following = next(
            one for one in others if one.members.own.name == others[0].client.owner_of(life)
        )
        self.assertEqual(heard, following.keeper._books[life].prompts.model.believed)


if __name__ == "__main__":
    unittest.main()
