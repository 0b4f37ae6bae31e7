"""Tests of the list of known red tests."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

from loomyard_standins.known_red import KnownRed, read_known_red, sort_known_red

ENTRY = KnownRed("tests.A.test_a", "answers cross", "issue 5")


class KnownRedTest(unittest.TestCase):
    def read(self, text: str):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "list.txt"
            path.write_text(text)
            return read_known_red(path)

    def test_reads_three_at_most(self) -> None:
        line = "tests.A.test_a | answers cross | issue 5\n"
        self.assertEqual(self.read(line).unwrap(), (ENTRY,))
        self.assertTrue(self.read(line * 3).is_ok())
        self.assertTrue(self.read(line * 4).is_err())
        self.assertTrue(self.read("tests.A.test_a").is_err())

    def test_no_file_means_none(self) -> None:
        self.assertEqual(read_known_red(Path("no-such-file")).unwrap(), ())

    def test_only_listed_tests_may_fail(self) -> None:
        found = sort_known_red((ENTRY,), {ENTRY.test, "b", "c"}, {ENTRY.test, "b"})
        self.assertEqual((found.red, found.unexpected), ((ENTRY,), ("b",)))

    def test_says_what_passes_or_is_gone(self) -> None:
        self.assertEqual(sort_known_red((ENTRY,), {ENTRY.test}, set()).green, (ENTRY,))
        self.assertEqual(sort_known_red((ENTRY,), {"b"}, set()).not_run, (ENTRY,))


if __name__ == "__main__":
    unittest.main()
