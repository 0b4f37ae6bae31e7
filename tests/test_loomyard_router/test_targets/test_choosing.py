"""Tests of the choice of a target."""

from __future__ import annotations

import unittest

from loomyard.objects import Metadata, Target
from loomyard_router.targets.choosing import Candidate, choose


class Held:
    def __init__(self, *names: str) -> None:
        self._names = names

    def holds_prefix(self, name: str, prefix: str) -> bool:
        return name in self._names


def candidate(name: str, free: int, slots: int = 8) -> Candidate:
    target = Target(metadata=Metadata(name=name), url=f"http://{name}", services=["assistant"])
    return Candidate(target=target, free=free, slots=slots)


class ChooseTest(unittest.TestCase):
    def chosen(self, candidates: list[Candidate], prefix: str, *held: str) -> str | None:
        target = choose(candidates, prefix, Held(*held))
        return target.metadata.name if target else None

    def test_no_free_slot(self) -> None:
        self.assertIsNone(self.chosen([candidate("a", 0)], "p", "a"))

    def test_without_prefix_the_freest(self) -> None:
        self.assertEqual(self.chosen([candidate("a", 2), candidate("b", 3)], "", "a"), "b")

    def test_holder_within_the_margin(self) -> None:
        self.assertEqual(self.chosen([candidate("a", 6), candidate("b", 8)], "p", "a"), "a")

    def test_load_bounds_locality(self) -> None:
        self.assertEqual(self.chosen([candidate("a", 5), candidate("b", 8)], "p", "a"), "b")

    def test_routers_agree_without_knowledge(self) -> None:
        fleet = [candidate(name, 8) for name in "abcdefgh"]
        for prefix in ("p", "q", "r"):
            self.assertEqual(self.chosen(fleet, prefix), self.chosen(fleet[::-1], prefix))
        self.assertGreater(len({self.chosen(fleet, f"p{n}") for n in range(50)}), 4)


if __name__ == "__main__":
    unittest.main()
