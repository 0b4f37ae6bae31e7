"""Tests of the generated reference pages and of the codes and events that they list."""

from __future__ import annotations

import unittest
from pathlib import Path

from loomyard.errors import ResultCode
from loomyard.events import Event
from loomyard_standins.tables import make_tables

DOCS = Path(__file__).parents[2] / "docs"


class TablesTest(unittest.TestCase):
    def test_pages_are_current(self) -> None:
        for name, text in make_tables().items():
            with self.subTest(name=name):
                self.assertEqual((DOCS / name).read_text(), text, "run `make tables`")

    def test_every_code_has_a_meaning(self) -> None:
        self.assertEqual([code.name for code in ResultCode if not code.meaning], [])

    def test_event_numbers_are_unique(self) -> None:
        numbers = [event.number for event in Event]
        self.assertEqual(len(numbers), len(set(numbers)))


if __name__ == "__main__":
    unittest.main()
