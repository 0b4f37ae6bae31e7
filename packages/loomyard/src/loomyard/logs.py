"""Formatters of log lines (text for people, JSON for programs) and their installation."""

from __future__ import annotations

import json
import logging
import sys
from datetime import UTC, datetime
from typing import Any

from loomyard.clock import boottime_seconds
from loomyard.events import event_of

TEXT = "text"
JSON = "json"


class TextFormatter(logging.Formatter):
    """Format a record as one text line: time, level, event number, message and fields."""

    def format(self, record: logging.LogRecord) -> str:
        number, fields = _event_of(record)
        parts = [_timestamp_of(record), record.levelname, f"[{number}]", record.getMessage()]
        parts += [f"{name}={value}" for name, value in fields.items()]
        line = " ".join(parts).replace("\n", "\\n").replace("\r", "\\r")
        if record.exc_info:
            line += "\n" + self.formatException(record.exc_info)
        return line


class JsonFormatter(logging.Formatter):
    """Format a record as a JSON object in one line."""

    def format(self, record: logging.LogRecord) -> str:
        number, fields = _event_of(record)
        document: dict[str, Any] = {
            "time": _timestamp_of(record),
            # Wall time may jump; this is the clock of leases and deadlines.
            "steady": round(boottime_seconds(), 4),
            "level": record.levelname.lower(),
            "logger": record.name,
            "event": number,
            "message": record.getMessage(),
        }
        if record.exc_info:
            document["exception"] = self.formatException(record.exc_info)
        document["fields"] = fields
        return _encode(document)


# One encoder for all lines; ``json.dumps`` with ``default`` would make one for each.
_encode = json.JSONEncoder(default=str).encode


def configure_logs(log_format: str, level: int = logging.INFO) -> None:
    """Log to standard error in ``TEXT`` or ``JSON`` format."""
    install_handler(logging.StreamHandler(sys.stderr), log_format, level)


def install_handler(handler: logging.Handler, log_format: str, level: int = logging.INFO) -> None:
    """Make a handler the only one of the root logger, with the formatter of ``log_format``."""
    # No format prints source lines, threads or processes, so the lookup of each is turned off.
    logging._srcfile = None
    logging.logThreads = logging.logProcesses = logging.logMultiprocessing = False
    handler.setFormatter(JsonFormatter() if log_format == JSON else TextFormatter())
    logging.basicConfig(level=level, handlers=[handler], force=True)


def _event_of(record: logging.LogRecord) -> tuple[int, dict[str, Any]]:
    event = event_of(record)
    return (event.number if event else 0), getattr(record, "fields", {})


def _timestamp_of(record: logging.LogRecord) -> str:
    return datetime.fromtimestamp(record.created, UTC).isoformat(timespec="milliseconds")
