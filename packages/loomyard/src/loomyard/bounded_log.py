"""Write log lines without ever holding up who logs."""

from __future__ import annotations

import logging
import os
from collections import deque
from contextlib import suppress
from typing import TYPE_CHECKING

import gevent
from gevent.event import Event as GeventEvent
from gevent.os import nb_write

from loomyard.events import Event, event_of

if TYPE_CHECKING:
    from loomyard.clock import Clock

# Room for some seconds of lines where nobody reads; older routine lines go first.
MOST_LINES = 4000
# Bytes a second for routine lines, one for each plain success; all others are always written.
ROUTINE_BYTES = 24_000.0
REPORT_SECONDS = 5.0
ROUTINE = frozenset([Event.REQUEST_ENDED])


class BoundedLogHandler(logging.Handler):
    """Queue lines for a task that writes them; what does not fit is counted and said."""

    def __init__(self, fd: int, clock: Clock, *, routine_bytes: float = ROUTINE_BYTES) -> None:
        super().__init__()
        self.left_out = 0
        self._fd = fd
        self._clock = clock
        self._routine_bytes = routine_bytes
        self._credit = routine_bytes
        self._credit_at = clock.now()
        self._lines: deque[bytes] = deque()
        self._reported = 0
        self._report_at = 0.0
        self._waiting = GeventEvent()
        self._task: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start to write."""
        with suppress(OSError):
            # Where the descriptor can't be made so, a write may wait as it always could.
            os.set_blocking(self._fd, False)
        self._task = gevent.spawn(self._run)

    def emit(self, record: logging.LogRecord) -> None:
        try:
            line = self.format(record).encode() + b"\n"
        except Exception:
            self.handleError(record)
            return
        if _is_routine(record) and not self._afford(len(line)):
            self.left_out += 1
            return
        if len(self._lines) >= MOST_LINES:
            self._lines.popleft()
            self.left_out += 1
        self._lines.append(line)
        self._waiting.set()

    def flush_now(self, deadline: float) -> None:
        """Wait until all lines are written, or until a deadline."""
        while self._lines and self._clock.now() < deadline:
            gevent.sleep(0.005)

    def _afford(self, size: int) -> bool:
        now = self._clock.now()
        earned = (now - self._credit_at) * self._routine_bytes
        self._credit = min(self._routine_bytes, self._credit + earned)
        self._credit_at = now
        if self._credit < size:
            return False
        self._credit -= size
        return True

    def _run(self) -> None:
        while True:
            self._waiting.wait()
            while self._lines:
                self._write(self._lines.popleft())
            self._waiting.clear()
            self._report()

    def _write(self, data: bytes) -> None:
        while data:
            try:
                data = data[nb_write(self._fd, data) :]
            except OSError:
                # Nobody reads any more; the lines are lost, and who serves callers goes on.
                self.left_out += 1
                return

    def _report(self) -> None:
        now = self._clock.now()
        if self.left_out == self._reported or now < self._report_at:
            return
        self._report_at = now + REPORT_SECONDS
        count, self._reported = self.left_out - self._reported, self.left_out
        record = logging.LogRecord(
            __name__, logging.WARNING, __file__, 0, Event.LOG_LINES_LEFT_OUT.meaning, None, None
        )
        record.event = Event.LOG_LINES_LEFT_OUT
        record.fields = {"lines": count, "all": self.left_out}
        self.emit(record)


def _is_routine(record: logging.LogRecord) -> bool:
    return event_of(record) in ROUTINE and not getattr(record, "fields", {}).get("code")
