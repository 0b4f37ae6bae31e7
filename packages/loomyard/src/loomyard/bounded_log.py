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

from loomyard.errors import Executed
from loomyard.events import Event, event_of

if TYPE_CHECKING:
    from loomyard.clock import Clock

# Room for some seconds of lines where nobody reads; older routine lines go first.
MOST_LINES = 4000
# Bytes a second for the lines of plain successes, and as many for those of requests that were
# refused and did not run: some sixty lines each, of the hundreds that a burst would write on half a
# core. All others, failures above all, are always written.
CEILING_BYTES = 24_000.0
REPORT_SECONDS = 5.0


class Ceiling:
    """A bound on the bytes a second of one kind of lines; a second's worth may come at once."""

    def __init__(self, clock: Clock, rate: float) -> None:
        self._clock = clock
        self._rate = rate
        self._credit = rate
        self._at = clock.now()

    @property
    def open(self) -> bool:
        """Tell whether a line may be written; it need not be formatted to know that."""
        now = self._clock.now()
        self._credit = min(self._rate, self._credit + (now - self._at) * self._rate)
        self._at = now
        return self._credit > 0

    def spend(self, size: int) -> None:
        """Count a line that is written."""
        self._credit -= size


class BoundedLogHandler(logging.Handler):
    """Queue lines for a task that writes them; what does not fit is counted and said."""

    def __init__(self, fd: int, clock: Clock, *, ceiling: float = CEILING_BYTES) -> None:
        super().__init__()
        self.left_out = 0
        self._fd = fd
        self._clock = clock
        self._successes = Ceiling(clock, ceiling)
        self._refusals = Ceiling(clock, ceiling)
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
        ceiling = self._ceiling_of(record)
        if ceiling is not None and not ceiling.open:
            self.left_out += 1
            return
        try:
            line = self.format(record).encode() + b"\n"
        except Exception:
            self.handleError(record)
            return
        if ceiling is not None:
            ceiling.spend(len(line))
        if len(self._lines) >= MOST_LINES:
            self._lines.popleft()
            self.left_out += 1
        self._lines.append(line)
        self._waiting.set()

    def flush_now(self, deadline: float) -> None:
        """Wait until all lines are written, or until a deadline."""
        while self._lines and self._clock.now() < deadline:
            gevent.sleep(0.005)

    def _ceiling_of(self, record: logging.LogRecord) -> Ceiling | None:
        if event_of(record) is not Event.REQUEST_ENDED:
            return None
        fields = getattr(record, "fields", {})
        if not fields.get("code"):
            return self._successes
        return self._refusals if fields.get("executed") == Executed.NO.value else None

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
