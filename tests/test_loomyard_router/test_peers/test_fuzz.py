"""Fuzz tests: bytes from outside are refused and never raise an error."""

from __future__ import annotations

import unittest

import cbor2
from hypothesis import given, settings
from hypothesis import strategies as st

from loomyard_router.members.datagram_seal import PURPOSE, DatagramSeal
from loomyard_router.peers.compact_codec import unpack
from loomyard_router.peers.fleet_secret import make_fleet_secret, truncated_hmac
from loomyard_router.peers.frames import FrameOpener, FrameSealer
from loomyard_router.peers.handshake import Hello
from loomyard_standins.fake_clock import FakeClock

SECRET = make_fleet_secret(["s"])
KEY = b"k" * 32
LEAVES = st.none() | st.booleans() | st.integers() | st.floats() | st.text() | st.binary()
PLAIN = st.recursive(
    LEAVES,
    lambda inner: st.lists(inner, max_size=10) | st.dictionaries(st.text(), inner, max_size=4),
    max_leaves=20,
)
# Shaped nearly as a valid datagram, which random values seldom are.
UPDATES = st.lists(st.lists(LEAVES, min_size=6, max_size=7), max_size=2)
NEAR_VALID = st.tuples(
    st.integers(-1, 3), st.text(max_size=3), *[st.integers()] * 5, UPDATES, UPDATES, st.text()
)
FUZZ = settings(derandomize=True, max_examples=300, deadline=None, database=None)


class FuzzTest(unittest.TestCase):
    @FUZZ
    @given(st.binary(max_size=200))
    def test_random_bytes_are_refused(self, data: bytes) -> None:
        self.assertTrue(DatagramSeal(SECRET, FakeClock()).open(data, "a:1").is_err())
        self.assertTrue(FrameOpener(key=KEY).open(data).is_err())
        self.assertTrue(unpack(data, Hello).is_err())

    @FUZZ
    @given(PLAIN | NEAR_VALID)
    def test_random_values_under_the_right_key_raise_no_error(self, value: object) -> None:
        body = cbor2.dumps(value)
        sealed = truncated_hmac(SECRET.keys(PURPOSE)[0], b"a:1", body) + body
        outcome = DatagramSeal(SECRET, FakeClock()).open(sealed, "a:1")
        if outcome.is_ok():
            self.assertIsInstance(outcome.unwrap().sender, str)
        FrameOpener(key=KEY).open(FrameSealer(key=KEY).seal([body]))


if __name__ == "__main__":
    unittest.main()
