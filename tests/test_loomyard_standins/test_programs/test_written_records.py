"""Tests of which records the writers of a soak write again after a rollback of the store."""

from __future__ import annotations

import unittest

from loomyard_standins.programs.written_records import WrittenRecords


class WrittenRecordsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.records = WrittenRecords()

    def write(self, key: str, at: float, acked_at: float | None) -> None:
        self.records.record_write("topic", key, {"key": key, "at": at}, at)
        if acked_at is not None:
            self.records.record_ack(key, acked_at)

    def lost(self, since: float) -> list[str]:
        return [message["key"] for message in self.records.find_lost(since)]

    # Guards against targets that no router knew for the rest of a run.
    def test_what_a_paused_store_had_not_acknowledged_is_lost(self) -> None:
        self.write("a", 1.0, 1.1)
        self.write("b", 2.0, None)
        self.write("c", 2.0, 3.9)
        self.assertEqual(["b", "c"], self.lost(3.0))

    def test_only_the_newest_write_of_a_key_counts(self) -> None:
        self.write("a", 1.0, 1.1)
        self.write("a", 2.0, None)
        self.assertEqual([{"key": "a", "at": 2.0}], self.records.find_lost(3.0))


if __name__ == "__main__":
    unittest.main()
