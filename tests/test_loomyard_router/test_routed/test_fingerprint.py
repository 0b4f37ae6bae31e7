"""Tests of what tells that a request comes again."""

from __future__ import annotations

import unittest

from loomyard_router.routed.fingerprint import make_fingerprint

ASKED = {"method": "POST", "host": "a.example", "path": "/p/x", "account": "north", "body": b"body"}


class FingerprintTest(unittest.TestCase):
    def test_the_same_request_has_the_same_fingerprint(self) -> None:
        self.assertEqual(make_fingerprint(**ASKED), make_fingerprint(**ASKED))

    def test_each_part_tells_requests_apart(self) -> None:
        changes = {
            "method": "GET",
            "host": "b.example",
            "path": "/p/y",
            "account": "south",
            "body": b"",
        }
        seen = {make_fingerprint(**{**ASKED, part: other}) for part, other in changes.items()}
        self.assertEqual(len(changes), len(seen - {make_fingerprint(**ASKED)}))

    def test_what_moves_from_one_part_to_the_next_is_another_request(self) -> None:
        moved = {**ASKED, "host": "a.example/p", "path": "/x"}
        self.assertNotEqual(make_fingerprint(**ASKED), make_fingerprint(**moved))


if __name__ == "__main__":
    unittest.main()
