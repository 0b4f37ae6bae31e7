"""Tests of the fingerprint that recognizes a repeated request."""

from __future__ import annotations

import unittest

from loomyard_router.routed.fingerprint import make_fingerprint

ASKED = {"method": "POST", "host": "a.example", "path": "/p/x", "account": "north", "body": b"body"}


class FingerprintTest(unittest.TestCase):
    def test_the_same_request_has_the_same_fingerprint(self) -> None:
        self.assertEqual(make_fingerprint(**ASKED), make_fingerprint(**ASKED))

    def test_requests_that_differ_in_any_field_have_different_fingerprints(self) -> None:
        changes = {
            "method": "GET",
            "host": "b.example",
            "path": "/p/y",
            "account": "south",
            "body": b"",
        }
        seen = {make_fingerprint(**{**ASKED, part: other}) for part, other in changes.items()}
        self.assertEqual(len(changes), len(seen - {make_fingerprint(**ASKED)}))

    def test_text_that_moves_from_one_field_to_the_next_changes_the_fingerprint(self) -> None:
        moved = {**ASKED, "host": "a.example/p", "path": "/x"}
        self.assertNotEqual(make_fingerprint(**ASKED), make_fingerprint(**moved))


if __name__ == "__main__":
    unittest.main()
