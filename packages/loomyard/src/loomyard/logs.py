"""Formats of log lines: text for people, JSON for programs."""

from __future__ import annotations

import json
import logging
import sys
from datetime import UTC, datetime
from typing import Any

from loomyard.clock import machine_seconds
from loomyard.events import event_of

TEXT = "text"
JSON = "json"


class TextFormatter(logging.Formatter):
    """A line with time, level, event number, meaning and fields."""

    def format(self, record: logging.LogRecord) -> str:
        number, fields = _event_of(record)
        parts = [_time_of(record), record.levelname, f"[{number}]", record.getMessage()]
        parts += [f"{name}={value}" for name, value in fields.items()]
        line = " ".join(parts).replace("\n", "\\n").replace("\r", "\\r")
        if record.exc_info:
            line += "\n" + self.formatException(record.exc_info)
        return line


class JsonFormatter(logging.Formatter):
    """A JSON object in a line."""

    def format(self, record: logging.LogRecord) -> str:
        number, fields = _event_of(record)
        document: dict[str, Any] = {
            "time": _time_of(record),
            # The time of day may jump; these are the seconds of leases and deadlines.
            "steady": round(machine_seconds(), 4),
            "level": record.levelname.lower(),
            "logger": record.name,
            "event": number,
            "message": record.getMessage(),
        }
        if record.exc_info:
            document["exception"] = self.formatException(record.exc_info)
        document["fields"] = fields
        return _encode(document)


# An encoder of its own: ``json.dumps`` makes one for each line that names a default.
_encode = json.JSONEncoder(default=str).encode


def configure_logs(form: str, level: int = logging.INFO) -> None:
    """Log to the standard error stream in a format."""
    use_handler(logging.StreamHandler(sys.stderr), form, level)


def use_handler(handler: logging.Handler, form: str, level: int = logging.INFO) -> None:
    """Log to a handler in a format, and nowhere else."""
    # No line tells of source lines, threads or processes, so that is not looked up for each.
    logging._srcfile = None
    logging.logThreads = logging.logProcesses = logging.logMultiprocessing = False
    handler.setFormatter(JsonFormatter() if form == JSON else TextFormatter())
    logging.basicConfig(level=level, handlers=[handler], force=True)


def _event_of(record: logging.LogRecord) -> tuple[int, dict[str, Any]]:
    event = event_of(record)
    return (event.number if event else 0), getattr(record, "fields", {})


def _time_of(record: logging.LogRecord) -> str:
    return datetime.fromtimestamp(record.created, UTC).isoformat(timespec="milliseconds")
