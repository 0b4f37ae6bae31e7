"""Tests of the archive in the platform's store and of the eras of its answers."""

from __future__ import annotations

import unittest

from loomyard.clock import SystemClock
from loomyard.errors import ResultCode
from loomyard.util.tcp import NoDelayServer
from loomyard_router.feeds.store_era import StoreEra
from loomyard_router.platform.store_archive import StoreArchive
from loomyard_router.platform.store_client import parse_era
from loomyard_standins.programs.store_program import StoreProgram

WAIT = 10.0


class StoreArchiveTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = StoreProgram()
        server = NoDelayServer(("127.0.0.1", 0), self.store.serve, log=None)
        server.start()
        self.addCleanup(server.stop, timeout=0)
        self.clock = SystemClock()
        self.archive = StoreArchive(
            f"127.0.0.1:{server.server_port}", "keyed.something", self.clock, StoreEra()
        )

    @property
    def deadline(self) -> float:
        return self.clock.now() + WAIT

    def test_written_values_are_read_and_deleted_ones_are_not(self) -> None:
        for key, value in (("a", b"1"), ("b", b"2"), ("a", b"\x00\xff"), ("b", None)):
            self.assertTrue(self.archive.write(key, value, self.deadline).is_ok())
        self.assertEqual({"a": b"\x00\xff"}, self.archive.read(self.deadline).unwrap())

    def test_each_answer_updates_the_era_and_answers_of_earlier_eras_are_errors(self) -> None:
        self.store.era = 3
        self.assertTrue(self.archive.write("a", b"1", self.deadline).is_ok())
        self.assertEqual(3, self.archive.era)
        self.store.busy, self.store.era = True, 4
        self.assertTrue(self.archive.read(self.deadline).is_err())
        self.assertEqual(4, self.archive.era, "also of a refusal")
        self.store.busy, self.store.era = False, 3
        self.assertTrue(self.archive.read(self.deadline).is_err())
        self.assertTrue(self.archive.write("a", b"2", self.deadline).is_err())

    def test_an_invalid_era_is_ignored(self) -> None:
        for text in (None, "", "-1", "1.0", "x", "9" * 40, ["1", "2"]):
            self.assertIsNone(parse_era(text), text)
        self.assertEqual(7, parse_era("7"))

    def test_a_refusal_by_the_store_is_an_error(self) -> None:
        self.store.busy = True
        for outcome in (
            self.archive.read(self.deadline),
            self.archive.write("a", b"1", self.deadline),
        ):
            self.assertEqual(ResultCode.LOG_UNAVAILABLE, outcome.unwrap_err().code)


if __name__ == "__main__":
    unittest.main()
