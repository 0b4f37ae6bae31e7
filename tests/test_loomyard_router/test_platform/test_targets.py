"""Tests of decoding the notices in the heads of targets' answers."""

from __future__ import annotations

import unittest

from loomyard_router.announced.target_notice import NO_NOTICE, TargetNotice
from loomyard_router.platform.targets import PlatformTargets


class TargetNoticeTest(unittest.TestCase):
    """Decode notices of leaving and back-off from answers."""

    def read(self, status: int, **headers: str) -> TargetNotice:
        """Return the notice of an answer; that of a health answer has to be the same."""
        fields = [(name.replace("_", "-"), value) for name, value in headers.items()]
        head = PlatformTargets().decode_answer_head(status, fields)
        self.assertEqual(head.notice, PlatformTargets().decode_health_answer(status, fields).notice)
        return head.notice

    def test_an_answer_of_any_status_can_announce_leaving(self) -> None:
        for status in (200, 204, 400, 429, 500, 503, 504):
            with self.subTest(status=status):
                self.assertTrue(self.read(status, server_leaving=" 1 ").leaving)

    def test_other_values_do_not_announce_leaving(self) -> None:
        for value in ("", "0", "no", "1, 0"):
            with self.subTest(value=value):
                self.assertIs(NO_NOTICE, self.read(200, Server_Leaving=value))

    def test_the_notice_of_another_target_at_the_address_is_ignored(self) -> None:
        notice = self.read(421, Server_Leaving="1", Retry_After="3")
        self.assertIs(NO_NOTICE, notice)

    def test_backoff_is_a_number_of_seconds_with_a_503(self) -> None:
        for text, seconds in (("3", 3.0), ("0.25", 0.25), (" 2 ", 2.0), ("0", 0.0)):
            with self.subTest(text=text):
                self.assertEqual(seconds, self.read(503, Retry_After=text).backoff_seconds)
        for status in (200, 429, 500):
            with self.subTest(status=status):
                self.assertIs(NO_NOTICE, self.read(status, Retry_After="3"))

    def test_an_invalid_number_of_seconds_asks_for_no_backoff(self) -> None:
        for text in ("-1", "nan", "inf", "1e9", "soon", "Wed, 21 Oct 2026 07:28:00 GMT", "1" * 20):
            with self.subTest(text=text):
                self.assertIs(NO_NOTICE, self.read(503, Retry_After=text))


if __name__ == "__main__":
    unittest.main()
