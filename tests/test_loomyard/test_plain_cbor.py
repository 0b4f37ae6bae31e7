"""Tests that tagged CBOR is refused wherever bytes of others are decoded.

A few bytes of a tagged number can encode one of a million digits; decoding it would block a router.
"""

from __future__ import annotations

import hashlib
import unittest
import zlib

import cbor2

from loomyard.codec import decode, encode
from loomyard.configuration.packing import unpack as unpack_snapshot
from loomyard.configuration.snapshot import SnapshotPart
from loomyard.errors import Fault, ResultCode
from loomyard.external.log_service import LogBatch
from loomyard_router.peers.compact_codec import unpack
from loomyard_router.peers.frames import FrameOpener, FrameSealer

KEY = b"k" * 32
# Numbers of a few bytes, small enough that a decoder that accepts them fails the test at once.
DECIMAL_FRACTION = cbor2.dumps(cbor2.CBORTag(4, [3000, 1]))
BIGFLOAT = cbor2.dumps(cbor2.CBORTag(5, [3000, 1]))
BIGNUM = cbor2.dumps(cbor2.CBORTag(2, b"\x01" + bytes(99)))
NEGATIVE_BIGNUM = cbor2.dumps(cbor2.CBORTag(3, b"\x01" + bytes(99)))
UNKNOWN_TAG = cbor2.dumps(cbor2.CBORTag(60000, 1))
NUMBERS = (DECIMAL_FRACTION, BIGFLOAT, BIGNUM, NEGATIVE_BIGNUM, UNKNOWN_TAG)
EVERY_TAG = [cbor2.dumps(cbor2.CBORTag(tag, 1)) for tag in (*range(300), 1004, 43000, 55799)]


class TaggedCborTest(unittest.TestCase):
    def test_records_and_messages_refuse_tags(self) -> None:
        for data in (*NUMBERS, *EVERY_TAG):
            for outcome in (decode(data, int), unpack(data, int)):
                self.assertIn("tag", outcome.unwrap_err(), data.hex())

    def test_a_tag_within_a_record_is_refused(self) -> None:
        batch = {"first": 0, "end": cbor2.CBORTag(4, [3000, 1]), "records": []}
        self.assertIn("tag", decode(cbor2.dumps(batch), LogBatch).unwrap_err())

    def test_frames_of_peer_links_refuse_tags(self) -> None:
        for data in NUMBERS:
            body = b"\x83\x60\xf6" + data  # an envelope with the number as its request
            frame = FrameSealer(key=KEY).seal([body])
            fault = FrameOpener(key=KEY).open(frame).unwrap_err()
            self.assertEqual(fault.code, ResultCode.MESSAGE_INVALID, data.hex())
            self.assertIn("tag", fault.detail)

    def test_snapshots_refuse_tags(self) -> None:
        data = zlib.compress(b"\x81\x82" + DECIMAL_FRACTION + b"\xa0")
        part = SnapshotPart(
            as_of=1,
            version=1,
            digest="",
            checksum=hashlib.sha256(data).digest(),
            index=0,
            count=1,
            data=data,
        )
        self.assertIn("tag", unpack_snapshot([part]).unwrap_err())

    def test_values_without_tags_are_decoded(self) -> None:
        fault = Fault(code=ResultCode.MESSAGE_INVALID, detail="d")
        self.assertEqual(decode(encode(fault), Fault).unwrap(), fault)
        self.assertEqual(decode(encode(2**64 - 1), int).unwrap(), 2**64 - 1)


if __name__ == "__main__":
    unittest.main()
