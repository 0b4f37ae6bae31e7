"""Tests that the messages about configuration and operations are encoded without loss."""

from __future__ import annotations

import unittest

from loomyard.configuration import SnapshotPart
from loomyard.external.log_service import LogBatch, LogRecord
from loomyard_router.configuration.messages import (
    PartAnswer,
    PartRequest,
    RecordsAnswer,
    RecordsRequest,
    RouterStatus,
    StatusRequest,
)
from loomyard_router.operators.messages import (
    DrainAnswer,
    DrainRequest,
    ExplainRequest,
    Explanation,
)
from loomyard_router.peers.compact_codec import pack, unpack
from loomyard_router.peers.message_types import kind_of, name_of
from loomyard_router.requests.journal import JournalEntry, Step

PART = SnapshotPart(
    as_of=7, version=5, digest="ab", checksum=b"c", index=1, count=2, data=b"\0\xff"
)
BATCH = LogBatch(3, 5, (LogRecord(3, b"x"), LogRecord(4, b"")))
MESSAGES = [
    RecordsRequest(offset=9),
    RecordsAnswer(batch=BATCH, caught_up=True),
    PartRequest(),
    PartRequest(checksum=b"c", index=1),
    PartAnswer(),
    PartAnswer(part=PART),
    StatusRequest(members=True),
    RouterStatus(name="a", incarnation=1, ready=True, members=["a", "b"]),
    ExplainRequest(request_id="req-1"),
    Explanation(router="a", entries=[JournalEntry(1.5, Step.QUEUED, "behind 3")]),
    DrainRequest(incarnation=4),
    DrainAnswer(accepted=False, detail="gone"),
]


class MessagesTest(unittest.TestCase):
    def test_each_message_decodes_to_the_same_under_its_name(self) -> None:
        for message in MESSAGES:
            with self.subTest(kind=type(message).__name__):
                kind = kind_of(name_of(type(message)))
                self.assertEqual(unpack(pack(message), kind).unwrap(), message)


if __name__ == "__main__":
    unittest.main()
