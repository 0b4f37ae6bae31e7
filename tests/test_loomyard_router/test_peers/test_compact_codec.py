"""Tests of the compact codec on hostile bytes.

Guard against a number in place of bytes: ``bytes(number)`` would allocate that many zeros.
"""

from __future__ import annotations

import unittest

import cbor2

from loomyard.codec import decode
from loomyard.external.log_service import LogBatch
from loomyard_router.claims.messages import LookUp
from loomyard_router.peers.compact_codec import pack, unpack
from loomyard_router.peers.handshake import Hello, Identity

MANY = 5000


class HostileBytesTest(unittest.TestCase):
    def test_a_number_in_place_of_bytes_is_refused(self) -> None:
        self.assertTrue(unpack(cbor2.dumps([MANY]), LookUp).is_err())
        records = {"first": 0, "end": 1, "records": [{"offset": 0, "payload": MANY}]}
        self.assertTrue(decode(cbor2.dumps(records), LogBatch).is_err())

    def test_a_hello_with_a_number_as_nonce_is_refused(self) -> None:
        identity = Identity(name="r", incarnation=1, address="", data_centre="")
        hello = Hello(opener=identity, acceptor_name="w", nonce=b"n", key_ids=[b"k"])
        fields = cbor2.loads(pack(hello))
        self.assertTrue(unpack(cbor2.dumps([*fields[:2], MANY, *fields[3:]]), Hello).is_err())
        self.assertEqual(unpack(cbor2.dumps(fields), Hello).unwrap(), hello)
