"""Tests of reading the list of known red tests and comparing it with a run."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

from loomyard_standins.known_red import KnownRed, classify_known_red, read_known_red

ENTRY = KnownRed("tests.A.test_a", "answers cross", "issue 5")


class KnownRedTest(unittest.TestCase):
    def read(self, text: str):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "list.txt"
            path.write_text(text)
            return read_known_red(path)

    def test_read_at_most_three_entries(self) -> None:
        line = "tests.A.test_a | answers cross | issue 5\n"
        self.assertEqual(self.read(line).unwrap(), (ENTRY,))
        self.assertTrue(self.read(line * 3).is_ok())
        self.assertTrue(self.read(line * 4).is_err())
        self.assertTrue(self.read("tests.A.test_a").is_err())

    def test_list_is_empty_without_file(self) -> None:
        self.assertEqual(read_known_red(Path("no-such-file")).unwrap(), ())

    def test_only_listed_tests_may_fail(self) -> None:
        report = classify_known_red((ENTRY,), {ENTRY.test, "b", "c"}, {ENTRY.test, "b"})
        self.assertEqual((report.red, report.unexpected), ((ENTRY,), ("b",)))

    def test_report_entries_that_pass_or_did_not_run(self) -> None:
        self.assertEqual(classify_known_red((ENTRY,), {ENTRY.test}, set()).green, (ENTRY,))
        self.assertEqual(classify_known_red((ENTRY,), {"b"}, set()).not_run, (ENTRY,))


if __name__ == "__main__":
    unittest.main()
