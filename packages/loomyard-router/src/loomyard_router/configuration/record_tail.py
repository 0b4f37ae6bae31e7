"""The last records of the configuration stream, for peers that cannot read the log."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from loomyard.outside.log_service import LogBatch, LogRecord

if TYPE_CHECKING:
    from collections.abc import Iterator

TAIL_RECORDS = 1000
TAIL_BYTES = 1024 * 1024
READ_BYTES = 256 * 1024


class RecordTail:
    """Consecutive records up to the last one applied, of bounded size."""

    def __init__(self, *, records: int = TAIL_RECORDS, size: int = TAIL_BYTES) -> None:
        self._records: deque[LogRecord] = deque()
        self._most_records = records
        self._most_bytes = size
        self._bytes = 0
        self._end = 0

    def add(self, record: LogRecord) -> None:
        """Add the record that was applied last."""
        self._records.append(record)
        self._bytes += len(record.payload)
        self._end = record.offset + 1
        while len(self._records) > self._most_records or self._bytes > self._most_bytes:
            self._bytes -= len(self._records.popleft().payload)

    def restart(self, end: int) -> None:
        """Forget the records; the next one to come has offset ``end``."""
        self._records.clear()
        self._bytes = 0
        self._end = end

    def read(self, offset: int) -> LogBatch:
        """Return records from an offset on, as the log service would; at least one if any."""
        first = self._records[0].offset if self._records else self._end
        later = (record for record in self._records if record.offset >= offset)
        return LogBatch(first, self._end, tuple(_bounded(later)))


def _bounded(records: Iterator[LogRecord]) -> Iterator[LogRecord]:
    size = 0
    for record in records:
        size += len(record.payload)
        yield record
        if size >= READ_BYTES:
            return
