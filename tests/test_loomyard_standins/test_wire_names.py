"""Tests of the check that the platform's names stay in its adapter."""

from __future__ import annotations

import unittest
from pathlib import Path

from loomyard_standins.wire_names import find_in_source, find_strays

PATH = Path("module.py")
PACKAGES = Path(__file__).parents[2] / "packages"


class TestWireNames(unittest.TestCase):
    def test_a_header_a_field_a_topic_and_an_import_are_found(self) -> None:
        sources = (
            'HEADER = "Loomyard-Tenant"',
            'HEADER = "loomyard-not-executed"',
            'value = document["path_prefix"]',
            'TOPIC = "keyed.op"',
            "from loomyard_router.platform.names import STAMP",
            "import loomyard_router.platform",
        )
        for source in sources:
            with self.subTest(source=source):
                self.assertTrue(find_in_source(PATH, source))

    def test_our_own_names_are_not(self) -> None:
        source = 'HEADER = "Loomyard-Attempt"\nimport platform\nprefix = route.prefix\n'
        self.assertEqual([], find_in_source(PATH, source))

    def test_the_tree_has_none(self) -> None:
        self.assertEqual([], find_strays(PACKAGES))


if __name__ == "__main__":
    unittest.main()
