"""Tests of the client of the log service."""

from __future__ import annotations

import unittest
from unittest import mock

from loomyard.external.http_log import HttpLogService
from loomyard.external.log_service import MAX_READ_WAIT_SECONDS, READ_ANSWER_MARGIN_SECONDS


class HttpLogServiceTest(unittest.TestCase):
    def test_the_timeout_of_a_read_is_its_wait_plus_the_answer_margin(self) -> None:
        with mock.patch("loomyard.external.http_log.make_http_client") as make:
            HttpLogService("127.0.0.1", 1).read("stream", 0, wait=MAX_READ_WAIT_SECONDS)
        _, reads = (call.kwargs["network_timeout"] for call in make.call_args_list)
        self.assertEqual(MAX_READ_WAIT_SECONDS + READ_ANSWER_MARGIN_SECONDS, reads)


if __name__ == "__main__":
    unittest.main()
