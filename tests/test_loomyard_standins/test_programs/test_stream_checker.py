"""Tests that the soak finds streams of two versions, and take-ups that go on too rarely."""

from __future__ import annotations

import unittest

from loomyard_standins.programs.invariant import Invariant
from loomyard_standins.programs.soak_protocol import STREAM_EVENTS, read_stream, stream_event
from loomyard_standins.programs.stream_checker import MIN_TAKEN_UP, StreamChecker


class StreamCheckerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.out_of_touch: set[str] = set()
        self.unusable: set[str] = set()
        self.checker = StreamChecker(
            lambda router, _: router not in self.out_of_touch,
            lambda target, _: target not in self.unusable,
        )
        for number, version in enumerate(("v1", "v1", "v2", "v2")):
            self.checker.record_engine_start(f"t{number}", version)

    def see(self, attempt_id: str, stream: str, *versions: str) -> list[Invariant]:
        message = {
            "saw": attempt_id,
            "stream": stream,
            "versions": list(versions),
            "harmless": True,
            "at": 1.0,
        }
        return [violation.invariant for violation in self.checker.check(message, "r")]

    def test_two_versions_in_one_answer_or_over_two_attempts(self) -> None:
        self.assertEqual([Invariant.ONE_VERSION], self.see("a", "a", "v1", "v2"))
        self.assertEqual([], self.see("b", "b", "v1"))
        self.assertEqual([], self.see("b-1", "b", "v1"))
        self.assertEqual([], self.see("b-2", "b"))
        self.assertEqual([Invariant.ONE_VERSION], self.see("b-3", "b", "v2"))
        self.assertEqual([], self.see("b-4", "b", "v2"))

    def take_up(self, *, served: int, failed: int) -> list[Invariant]:
        for number in range(20):
            self.see(f"s{number}", f"s{number}", "v1")
        for number in range(served + failed):
            self.see(f"s0-{number}", "s0", *(["v1"] if number < served else []))
        return [violation.invariant for violation in self.checker.find_lost()]

    def test_streams_that_go_on_less_than_half_as_often_as_others_begin(self) -> None:
        self.assertEqual([], self.take_up(served=MIN_TAKEN_UP, failed=MIN_TAKEN_UP))
        self.assertEqual([Invariant.TAKEN_UP], self.take_up(served=0, failed=1))

    def test_few_streams_are_not_judged(self) -> None:
        self.assertEqual([], self.take_up(served=0, failed=MIN_TAKEN_UP - 1))

    def test_streams_at_routers_under_faults_or_without_two_engines_are_not_judged(self) -> None:
        self.see("s0", "s0", "v1")
        self.unusable = {"t1"}
        self.assertEqual([], self.take_up(served=0, failed=MIN_TAKEN_UP))
        self.unusable, self.out_of_touch = set(), {"r"}
        self.assertEqual([], self.take_up(served=0, failed=MIN_TAKEN_UP))

    def test_events_of_another_attempt_or_out_of_order_are_not_own(self) -> None:
        events = [stream_event("a", number, "v1") for number in range(1, STREAM_EVENTS + 1)]
        self.assertTrue(read_stream("a", 0, b"".join(events)).is_whole)
        cut = read_stream("a", 0, b"".join(events[:3])[:-1])
        self.assertEqual((2, ["v1"], True), (cut.last, cut.versions, cut.is_own))
        self.assertFalse(read_stream("b", 0, b"".join(events)).is_own)
        self.assertFalse(read_stream("a", 1, b"".join(events)).is_own)
        self.assertFalse(read_stream("a", 0, b"".join(events[:2] + events[3:])).is_own)


if __name__ == "__main__":
    unittest.main()
