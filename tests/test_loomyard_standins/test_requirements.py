"""Test that the platform's build and the project pin the same versions."""

from __future__ import annotations

import unittest
from pathlib import Path

ROOT = Path(__file__).parents[2]


class TestRequirements(unittest.TestCase):
    def test_required_versions_are_pinned_in_constraints(self) -> None:
        pinned = set((ROOT / "constraints.txt").read_text().split())
        required = (ROOT / "deploy" / "requirements.txt").read_text().split()
        self.assertTrue(required)
        self.assertEqual([], [line for line in required if line not in pinned])


if __name__ == "__main__":
    unittest.main()
