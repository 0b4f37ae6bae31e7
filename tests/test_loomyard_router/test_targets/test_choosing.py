"""Tests of the choice of a target."""

from __future__ import annotations

import unittest

from loomyard.objects import Metadata, Target
from loomyard_router.targets.choosing import Candidate, choose


class StubPrefixes:
    def __init__(self, *names: str) -> None:
        self._names = names

    def holds_prefix(self, name: str, prefix: str) -> bool:
        return name in self._names


def candidate(name: str, free: int, slots: int = 8) -> Candidate:
    target = Target(metadata=Metadata(name=name), url=f"http://{name}", services=["assistant"])
    return Candidate(target=target, free=free, slots=slots)


class ChooseTest(unittest.TestCase):
    def chosen(self, candidates: list[Candidate], prefix: str, *held: str) -> str | None:
        target = choose(candidates, prefix, StubPrefixes(*held))
        return target.metadata.name if target else None

    def test_no_target_is_chosen_without_a_free_slot(self) -> None:
        self.assertIsNone(self.chosen([candidate("a", 0)], "p", "a"))

    def test_without_prefix_the_freest_target_is_chosen(self) -> None:
        self.assertEqual(self.chosen([candidate("a", 2), candidate("b", 3)], "", "a"), "b")

    def test_a_target_with_the_prefix_is_chosen_within_the_margin(self) -> None:
        self.assertEqual(self.chosen([candidate("a", 6), candidate("b", 8)], "p", "a"), "a")

    def test_the_freest_is_chosen_where_the_prefix_holder_is_beyond_the_margin(self) -> None:
        self.assertEqual(self.chosen([candidate("a", 5), candidate("b", 8)], "p", "a"), "b")

    def test_routers_agree_without_cache_information(self) -> None:
        fleet = [candidate(name, 8) for name in "abcdefgh"]
        for prefix in ("p", "q", "r"):
            self.assertEqual(self.chosen(fleet, prefix), self.chosen(fleet[::-1], prefix))
        self.assertGreater(len({self.chosen(fleet, f"p{n}") for n in range(50)}), 4)


if __name__ == "__main__":
    unittest.main()
