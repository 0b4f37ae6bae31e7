"""Tests that bytes from outside are refused, never raised on."""

from __future__ import annotations

import unittest

import cbor2
from hypothesis import given, settings
from hypothesis import strategies as st

from loomyard_router.members.datagram_seal import PURPOSE, DatagramSeal
from loomyard_router.peers.compact_codec import unpack
from loomyard_router.peers.fleet_secret import make_fleet_secret, tag
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
# Shapes near a real datagram, which random values seldom have.
UPDATES = st.lists(st.lists(LEAVES, min_size=6, max_size=7), max_size=2)
NEAR = st.tuples(
    st.integers(-1, 3), st.text(max_size=3), *[st.integers()] * 5, UPDATES, UPDATES, st.text()
)
FUZZ = settings(derandomize=True, max_examples=300, deadline=None, database=None)


class FuzzTest(unittest.TestCase):
    @FUZZ
    @given(st.binary(max_size=200))
    def test_bytes_of_strangers(self, data: bytes) -> None:
        self.assertTrue(DatagramSeal(SECRET, FakeClock()).open(data, "a:1").is_err())
        self.assertTrue(FrameOpener(key=KEY).open(data).is_err())
        self.assertTrue(unpack(data, Hello).is_err())

    @FUZZ
    @given(PLAIN | NEAR)
    def test_odd_values_under_a_right_key(self, value: object) -> None:
        body = cbor2.dumps(value)
        sealed = tag(SECRET.keys(PURPOSE)[0], b"a:1", body) + body
        outcome = DatagramSeal(SECRET, FakeClock()).open(sealed, "a:1")
        if outcome.is_ok():
            self.assertIsInstance(outcome.unwrap().sender, str)
        FrameOpener(key=KEY).open(FrameSealer(key=KEY).seal([body]))


if __name__ == "__main__":
    unittest.main()
