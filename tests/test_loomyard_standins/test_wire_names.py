"""Tests of the check that platform names occur only in the adapter."""

from __future__ import annotations

import unittest
from pathlib import Path

from loomyard_standins.wire_names import find_in_source, find_leaked_names

PATH = Path("module.py")
PACKAGES = Path(__file__).parents[2] / "packages"


class TestWireNames(unittest.TestCase):
    def test_headers_fields_topics_and_imports_are_found(self) -> None:
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

    def test_names_of_this_project_are_allowed(self) -> None:
        source = 'HEADER = "Loomyard-Attempt"\nimport platform\nprefix = route.prefix\n'
        self.assertEqual([], find_in_source(PATH, source))

    def test_packages_have_no_leaked_names(self) -> None:
        self.assertEqual([], find_leaked_names(PACKAGES))


if __name__ == "__main__":
    unittest.main()
