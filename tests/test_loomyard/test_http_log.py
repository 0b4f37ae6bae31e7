"""Tests of the client of the log service."""

from __future__ import annotations

import unittest
from unittest import mock

from loomyard.outside.http_log import HttpLogService
from loomyard.outside.log_service import READ_ANSWER_SECONDS, READ_WAIT


class HttpLogServiceTest(unittest.TestCase):
    def test_the_timeout_of_a_read_is_its_wait_plus_the_answer_margin(self) -> None:
        with mock.patch("loomyard.outside.http_log.make_http_client") as make:
            HttpLogService("127.0.0.1", 1).read("stream", 0, wait=READ_WAIT)
        _, reads = (call.kwargs["network_timeout"] for call in make.call_args_list)
        self.assertEqual(READ_WAIT + READ_ANSWER_SECONDS, reads)


if __name__ == "__main__":
    unittest.main()
