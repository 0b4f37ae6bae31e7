"""Asynchronous log handler with a bounded queue, which never blocks the logging task."""

from __future__ import annotations

import logging
import os
import traceback
from collections import deque
from contextlib import suppress
from typing import TYPE_CHECKING

import gevent
from gevent.event import Event as GeventEvent
from gevent.os import nb_write

from loomyard.errors import Executed
from loomyard.events import Event, event_of

if TYPE_CHECKING:
    from loomyard.clock import Clock

# A few seconds of lines while the reader of the output stalls; the oldest are dropped first.
MAX_QUEUED_LINES = 4000
# Some lines hold text of callers, such as a path, which may be as long as a head.
MAX_QUEUED_BYTES = 4 << 20
# Limit for the lines of successful requests, and another of the same size for those of requests
# that were refused without running: about 60 lines a second each, of the hundreds that a burst of
# requests would write on half a core. Other lines, such as those of failures, have no limit.
MAX_BYTES_PER_SECOND = 24_000.0
REPORT_SECONDS = 5.0
# After an exception of the writer.
PAUSE_SECONDS = 0.1


class ByteRateLimit:
    """A token bucket that limits the bytes a second of log lines; it holds one second of credit."""

    def __init__(self, clock: Clock, rate: float) -> None:
        self._clock = clock
        self._rate = rate
        self._credit = rate
        self._updated_at = clock.now()

    @property
    def has_credit(self) -> bool:
        """Whether a line may be written; can be asked before the line is formatted."""
        now = self._clock.now()
        self._credit = min(self._rate, self._credit + (now - self._updated_at) * self._rate)
        self._updated_at = now
        return self._credit > 0

    def spend(self, size: int) -> None:
        """Deduct the bytes of a written line from the credit."""
        self._credit -= size


class BoundedLogHandler(logging.Handler):
    """Queue log lines for a writer task; count and report those that are dropped."""

    def __init__(
        self, fd: int, clock: Clock, *, max_bytes_per_second: float = MAX_BYTES_PER_SECOND
    ) -> None:
        super().__init__()
        self.dropped = 0
        self._fd = fd
        self._clock = clock
        self._successes = ByteRateLimit(clock, max_bytes_per_second)
        self._refusals = ByteRateLimit(clock, max_bytes_per_second)
        self._lines: deque[bytes] = deque()
        self._queued_bytes = 0
        self._reported_dropped = 0
        self._next_report_at = 0.0
        self._has_lines = GeventEvent()
        self._task: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start the writer task."""
        with suppress(OSError):
            # A descriptor that can't be made non-blocking may block the process in a write.
            os.set_blocking(self._fd, False)
        self._task = gevent.spawn(self._run)

    def emit(self, record: logging.LogRecord) -> None:
        rate_limit = self._rate_limit_of(record)
        if rate_limit is not None and not rate_limit.has_credit:
            self.dropped += 1
            return
        try:
            line = self.format(record).encode() + b"\n"
        except Exception:
            self.handleError(record)
            return
        if rate_limit is not None:
            rate_limit.spend(len(line))
        self._lines.append(line)
        self._queued_bytes += len(line)
        while len(self._lines) > MAX_QUEUED_LINES or self._queued_bytes > MAX_QUEUED_BYTES:
            self._take_line()
            self.dropped += 1
        self._has_lines.set()

    def flush_until(self, deadline: float) -> None:
        """Wait until all queued lines are written or the monotonic clock reaches the deadline."""
        while self._lines and self._clock.now() < deadline:
            gevent.sleep(0.005)

    def _rate_limit_of(self, record: logging.LogRecord) -> ByteRateLimit | None:
        event = event_of(record)
        if event is Event.STREAM_BEGAN:
            return self._successes
        if event is not Event.REQUEST_ENDED:
            return None
        fields = getattr(record, "fields", {})
        if not fields.get("code"):
            return self._successes
        return self._refusals if fields.get("executed") == Executed.NO.value else None

    def _run(self) -> None:
        while True:
            self._has_lines.wait()
            try:
                self._write_queued()
            except Exception:  # without this task nothing would be logged any more
                self.dropped += 1
                traceback.print_exc()
                gevent.sleep(PAUSE_SECONDS)

    def _write_queued(self) -> None:
        while self._lines:
            self._write(self._take_line())
        self._has_lines.clear()
        self._report()

    def _take_line(self) -> bytes:
        line = self._lines.popleft()
        self._queued_bytes -= len(line)
        return line

    def _write(self, data: bytes) -> None:
        while data:
            try:
                data = data[nb_write(self._fd, data) :]
            except OSError:
                # The output was closed by its reader; drop the line and go on.
                self.dropped += 1
                return

    def _report(self) -> None:
        now = self._clock.now()
        if self.dropped == self._reported_dropped or now < self._next_report_at:
            return
        self._next_report_at = now + REPORT_SECONDS
        count, self._reported_dropped = self.dropped - self._reported_dropped, self.dropped
        record = logging.LogRecord(
            __name__, logging.WARNING, __file__, 0, Event.LOG_LINES_LEFT_OUT.meaning, None, None
        )
        record.event = Event.LOG_LINES_LEFT_OUT
        record.fields = {"lines": count, "all": self.dropped}
        self.emit(record)
