"""Tests of the answers that fake targets generate."""

from __future__ import annotations

import json
import unittest

from loomyard.external.engine import TargetCall
from loomyard_standins.faults.generated import generate_plain


def call(body: bytes) -> TargetCall:
    return TargetCall(attempt_id="a.1", url="", method="POST", path="/p", body=body, deadline=1.0)


class GeneratePlainTest(unittest.TestCase):
    def test_a_body_that_is_no_utf8_is_answered(self) -> None:
        # Decoding it strictly broke the connection, which a fuzz test took for a router's fault.
        generated = generate_plain(call(b"\x80ab\xff"))
        self.assertEqual({"echo": generated.marker}, json.loads(generated.chunks[0]))

    def test_different_bodies_have_different_markers(self) -> None:
        bodies = (b"\x80", b"\x81", b"\xc3\xa9", "\ufffd".encode(), b"a")
        self.assertEqual(len(bodies), len({generate_plain(call(body)).marker for body in bodies}))


if __name__ == "__main__":
    unittest.main()
