"""Tests of the text and JSON formats of log lines."""

from __future__ import annotations

import json
import logging
import unittest

from loomyard.events import Event
from loomyard.logs import JsonFormatter, TextFormatter


class LogsTest(unittest.TestCase):
    def record(self, **fields: object) -> logging.LogRecord:
        record = logging.LogRecord("r", logging.INFO, "", 0, "meaning", None, None)
        record.event, record.fields = Event.REQUEST_REFUSED, fields
        return record

    def test_text_escapes_line_breaks_of_fields(self) -> None:
        line = TextFormatter().format(self.record(path="/x\nERROR [1] forged"))
        self.assertIn("INFO [400] meaning path=/x\\nERROR", line)
        self.assertNotIn("\n", line)

    def test_json_has_event_number_and_fields(self) -> None:
        document = json.loads(JsonFormatter().format(self.record(code=1001, odd=Event)))
        self.assertEqual((document["event"], document["fields"]["code"]), (400, 1001))


if __name__ == "__main__":
    unittest.main()
