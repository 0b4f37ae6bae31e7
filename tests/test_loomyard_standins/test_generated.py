"""Tests of the answers that fake targets generate."""

from __future__ import annotations

import json
import unittest

from loomyard.external.engine import TargetCall
from loomyard_standins.faults.generated import (
    DEFAULT_TOKENS,
    expected_text,
    generate,
    generate_plain,
)


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


class GenerateTest(unittest.TestCase):
    def test_a_request_without_a_usable_prompt_or_number_of_tokens_is_answered(self) -> None:
        # The router checks the model's name alone, so fuzzed requests get here.
        for document in ({}, {"prompt": 3}, {"prompt": "a", "max_tokens": "many"}):
            generated = generate(call(json.dumps(document).encode()))
            self.assertEqual(DEFAULT_TOKENS, generated.tokens)
            text = json.loads(generated.chunks[0])["choices"][0]["text"]
            self.assertEqual(expected_text(generated.marker, DEFAULT_TOKENS), text)


if __name__ == "__main__":
    unittest.main()
