"""Tests of which engine a request gets by what its prompt takes to read."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from loomyard_router.admission.fleet_gate import MOST_OTHERS, MOST_OTHERS_OWN
from loomyard_router.admission.place_messages import PlaceRequest, PlacesHeld, PromptsRead
from loomyard_router.routed.request_head import PromptPart
from test_loomyard_router.test_admission.slots_case import SLOTS, Fleet

if TYPE_CHECKING:
    from loomyard_router.announced.announced_target import AnnouncedTarget
    from loomyard_router.routed.routed_request import RoutedRequest


class TestReading(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = Fleet(2)
        self.keeper = self.fleet.routers[0].keeper
        self.member = self.fleet.members[1]

    def ask(
        self, ticket: int, prompt: int, *, patience: int = 200, part: str = "", **terms: object
    ) -> bool:
        parts = [(part, 20_000)] if part else []
        request = PlaceRequest(
            target="e0",
            slots=9,
            ticket=ticket,
            level=0,
            prompt=prompt,
            parts=parts,
            patience=patience,
            **terms,  # type: ignore[arg-type]
        )
        return self.keeper.ask(self.member, request).granted

    def test_prompts_ahead_take_no_more_than_the_patience(self) -> None:
        self.assertTrue(self.ask(1, 15_000))
        self.assertFalse(self.ask(2, 15_000))
        self.assertTrue(self.ask(3, 3_000))
        self.keeper.note_read(self.member, PromptsRead(tickets=[1]))
        self.assertTrue(self.ask(4, 15_000))

    def test_a_prompt_longer_than_the_patience_goes_alone(self) -> None:
        self.assertTrue(self.ask(1, 50_000))

    def test_what_the_engine_keeps_is_not_read(self) -> None:
        self.assertTrue(self.ask(1, 21_000, part="p"))
        self.keeper.note_read(self.member, PromptsRead(tickets=[1]))
        self.assertTrue(self.ask(2, 10_000))
        self.assertTrue(self.ask(3, 21_000, part="p"))
        self.assertFalse(self.ask(4, 21_000, part="q"))

    def test_a_fresh_request_goes_before_one_that_came_back_beyond_the_share(self) -> None:
        # An account at several times its share: whoever was refused once is late already, and would
        # take the time of one that can be answered in time, which then comes back late as well.
        terms: dict[str, object] = {"used": 2.0, "patience": 400}
        self.assertTrue(self.ask(1, 6_000, own="a", **terms))
        self.assertFalse(self.ask(2, 8_000, own="b", **terms))
        self.keeper.note_read(self.member, PromptsRead(tickets=[1]))
        self.assertTrue(self.ask(3, 1_000, own="c", **terms))
        self.assertFalse(self.ask(4, 8_000, own="b", **terms))
        self.assertTrue(self.ask(5, 8_000 - 5_000, own="d", **terms))

    def test_one_that_came_back_has_an_engine_that_reads_nothing(self) -> None:
        terms: dict[str, object] = {"used": 2.0}
        self.assertTrue(self.ask(1, 6_000, own="a", **terms))
        self.assertFalse(self.ask(2, 8_000, own="b", **terms))
        self.keeper.note_read(self.member, PromptsRead(tickets=[1]))
        self.assertTrue(self.ask(3, 8_000, own="b", **terms))

    def test_within_the_share_one_that_came_back_is_as_good_as_a_fresh_one(self) -> None:
        self.assertTrue(self.ask(1, 15_000, own="a"))
        self.assertFalse(self.ask(2, 4_000, own="b", patience=150))
        self.assertTrue(self.ask(3, 4_000, own="b", patience=250))

    def test_equal_prompts_go_to_one_engine(self) -> None:
        parts = (PromptPart("shared", 100), PromptPart("own", 10))
        chosen = {
            router.gate.acquire(self.fleet.request(number=n, prompt=parts), frozenset())
            .unwrap()
            .target.id
            for n, router in enumerate(self.fleet.routers)
        }
        self.assertEqual(1, len(chosen))


class TestOtherEngines(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = Fleet(9)
        self.asked: list[str] = []
        client = self.fleet.routers[0].client
        ask = client.ask

        def counting(
            request: RoutedRequest, target: AnnouncedTarget, **options: object
        ):  # noqa: ANN202
            self.asked.append(target.id)
            return ask(request, target, **options)  # type: ignore[arg-type]

        client.ask = counting  # type: ignore[method-assign]
        for router in self.fleet.routers:
            for target in self.fleet.targets:
                router.keeper.restate(
                    self.fleet.members[1], PlacesHeld(held={target.id: list(range(SLOTS))})
                )

    def tried(self, own: int, account: str = "north") -> int:
        self.fleet.routers[0].ledger.ask(account, 1000.0)
        parts = (PromptPart("shared", 1000), PromptPart("own", own))
        request = self.fleet.request(account, prompt=parts, prompt_tokens=1000 + own)
        self.assertTrue(self.fleet.routers[0].gate.acquire(request, frozenset()).is_err())
        tried, self.asked = len(set(self.asked)), []
        return tried

    def test_a_prompt_that_others_share_is_tried_at_few_engines(self) -> None:
        self.assertEqual(1 + MOST_OTHERS, self.tried(1000))

    def test_a_prompt_that_is_mostly_its_own_is_tried_at_more(self) -> None:
        self.assertEqual(1 + MOST_OTHERS_OWN, self.tried(2000))

    def test_beyond_the_share_shared_parts_are_not_read_again_elsewhere(self) -> None:
        self.fleet.rate = 100.0
        self.fleet.routers[0].ledger.give("greedy", 5000.0)
        self.fleet.report()
        self.assertEqual(1, self.tried(1000, "greedy"))
        self.assertEqual(1 + MOST_OTHERS, self.tried(2000, "greedy"))


if __name__ == "__main__":
    unittest.main()
