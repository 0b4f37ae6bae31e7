"""Tests of the client of the log service."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING, Any
from unittest import mock
from urllib.parse import parse_qs

from gevent.pywsgi import WSGIServer

from loomyard.codec import encode
from loomyard.external.http_log import HttpLogService
from loomyard.external.log_service import (
    MAX_READ_WAIT_SECONDS,
    READ_ANSWER_MARGIN_SECONDS,
    LogBatch,
    LogRecord,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

RECORDS, RECORD_BYTES = 40, 1 << 20


class HttpLogServiceTest(unittest.TestCase):
    def test_the_timeout_of_a_read_is_its_wait_plus_the_answer_margin(self) -> None:
        with mock.patch("loomyard.external.http_log.make_http_client") as make:
            HttpLogService("127.0.0.1", 1).read("stream", 0, wait=MAX_READ_WAIT_SECONDS)
        _, reads = (call.kwargs["network_timeout"] for call in make.call_args_list)
        self.assertEqual(MAX_READ_WAIT_SECONDS + READ_ANSWER_MARGIN_SECONDS, reads)

    # Guards against a log that can't be read any more since some large records follow each other.
    def test_records_that_are_too_large_together_are_read_a_few_at_a_time(self) -> None:
        def serve(environ: dict[str, Any], start: Callable) -> Iterable[bytes]:
            query = parse_qs(environ["QUERY_STRING"])
            first, limit = int(query["from"][0]), int(query["limit"][0])
            records = [
                LogRecord(offset=offset, payload=bytes(RECORD_BYTES))
                for offset in range(first, min(RECORDS, first + limit))
            ]
            start("200 OK", [])
            return [encode(LogBatch(first=0, end=RECORDS, records=tuple(records)))]

        server = WSGIServer(("127.0.0.1", 0), serve, log=None)
        server.start()
        self.addCleanup(server.stop, 0)
        log = HttpLogService("127.0.0.1", server.server_port)
        position = 0
        while position < RECORDS:
            batch = log.read("stream", position).unwrap()
            self.assertEqual(position, batch.records[0].offset)
            position = batch.records[-1].offset + 1
        self.assertEqual(RECORDS, position)


if __name__ == "__main__":
    unittest.main()
