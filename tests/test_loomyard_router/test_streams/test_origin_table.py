"""Tests of the bounds of the records of streams."""

from __future__ import annotations

import unittest

from loomyard_router.streams.origin_record import OriginRecord
from loomyard_router.streams.origin_table import OriginTable
from loomyard_router.streams.stream_origin import StreamOrigin
from loomyard_standins.fake_clock import FakeClock


def record(attempt_id: str, version: str = "v1", until: float = 10.0) -> OriginRecord:
    origin = StreamOrigin(service="s", software_version=version)
    return OriginRecord(
        attempt_id=attempt_id, origin=origin, router="r", incarnation=1, until=until
    )


class OriginTableTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock()
        self.table = OriginTable(self.clock, max_records=3)

    def test_the_record_renewed_longest_ago_is_evicted_and_counted(self) -> None:
        for name in ("a", "b", "c", "a", "d"):
            self.table.add(record(name))
        self.assertIsNone(self.table.find("b"))
        self.assertEqual((3, 1), (len(self.table), self.table.evicted))
        self.assertIsNotNone(self.table.find("a"))

    def test_the_first_origin_stays_and_the_latest_expiry_counts(self) -> None:
        self.table.add(record("a", until=10.0))
        self.table.add(record("a", "v2", until=20.0))
        kept = self.table.add(record("a", "v2", until=15.0))
        self.assertEqual(("v1", 20.0), (kept.origin.software_version, kept.until))

    def test_an_expired_record_is_not_found_and_not_kept(self) -> None:
        self.table.add(record("a"))
        self.clock.advance(10.0)
        self.assertIsNone(self.table.find("a"))
        self.table.expire()
        self.assertEqual(0, len(self.table))
        self.table.add(record("a", "v2", until=30.0))
        found = self.table.find("a")
        assert found is not None
        self.assertEqual("v2", found.origin.software_version)


if __name__ == "__main__":
    unittest.main()
