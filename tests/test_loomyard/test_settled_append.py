"""Tests of appends whose answers are lost and that are confirmed by reading the stream."""

from __future__ import annotations

import unittest

import gevent

from loomyard.errors import Executed, ResultCode
from loomyard.external.confirmed_append import append_confirmed
from loomyard_standins.fake_clock import FakeClock
from loomyard_standins.log_service import MemoryLog

STREAM = "test"


class _DroppingLog(MemoryLog):
    """A log that loses answers and appends records only when released."""

    def __init__(self) -> None:
        super().__init__()
        self.held: list[bytes] = []

    def append(self, stream, payload):
        self.held.append(payload)
        self.lose_answers = 1
        return super().append("elsewhere", payload)

    def release(self) -> None:
        for payload in self.held:
            super().append(STREAM, payload)
        self.lose_answers = 0


class SettledAppendTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock()
        self.log = MemoryLog()

    def append(self, log: MemoryLog, payload: bytes = b"mine", **options):
        return append_confirmed(
            log, STREAM, payload, "id", lambda data: data == payload, 5.0, self.clock, **options
        )

    def test_after_a_lost_answer_the_record_is_found_without_a_second_append(self) -> None:
        self.log.append(STREAM, b"other")
        self.log.lose_answers = 1
        self.assertEqual(self.append(self.log).unwrap(), 1)
        self.assertEqual(self.log.appends, 2)

    def test_after_a_lost_answer_a_trimmed_stream_is_searched_page_by_page(self) -> None:
        for number in range(2500):
            self.log.append(STREAM, str(number).encode())
        self.log.trim(STREAM, 50)
        self.log.lose_answers = 1
        self.assertEqual(self.append(self.log).unwrap(), 2500)

    def test_a_refused_append_was_not_executed(self) -> None:
        self.log.down = True
        fault = self.append(self.log).unwrap_err()
        self.assertEqual((fault.code, fault.executed), (ResultCode.LOG_UNAVAILABLE, Executed.NO))

    def test_a_record_that_is_appended_late_is_found(self) -> None:
        log = _DroppingLog()
        task = gevent.spawn(self.append, log)
        gevent.sleep(0)
        self.assertFalse(task.ready())
        log.release()
        self.clock.advance(1.0)
        self.assertEqual(task.get(timeout=1).unwrap(), 0)

    def test_the_outcome_is_unknown_if_the_record_is_not_found(self) -> None:
        task = gevent.spawn(self.append, _DroppingLog())
        while not task.ready():
            self.clock.advance(1.0)
        fault = task.get().unwrap_err()
        self.assertEqual(
            (fault.code, fault.executed), (ResultCode.LOG_ANSWER_LOST, Executed.UNKNOWN)
        )
