"""The newest records of the configuration stream, for peers that cannot read the log."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from loomyard.external.log_service import LogBatch, LogRecord

if TYPE_CHECKING:
    from collections.abc import Iterator

MAX_TAIL_RECORDS = 1000
MAX_TAIL_BYTES = 1024 * 1024
MAX_READ_BYTES = 256 * 1024


class RecordTail:
    """Consecutive records up to the last one applied, limited in number and bytes."""

    def __init__(self, *, records: int = MAX_TAIL_RECORDS, size: int = MAX_TAIL_BYTES) -> None:
        self._records: deque[LogRecord] = deque()
        self._max_records = records
        self._max_bytes = size
        self._bytes = 0
        self._end = 0

    def add(self, record: LogRecord) -> None:
        """Add the record that was applied last."""
        self._records.append(record)
        self._bytes += len(record.payload)
        self._end = record.offset + 1
        while len(self._records) > self._max_records or self._bytes > self._max_bytes:
            self._bytes -= len(self._records.popleft().payload)

    def reset(self, end: int) -> None:
        """Drop all records; the next one to be added has offset ``end``."""
        self._records.clear()
        self._bytes = 0
        self._end = end

    def read(self, offset: int) -> LogBatch:
        """Return records from an offset on, like ``LogService.read``.

        A batch ends with the record that reaches ``MAX_READ_BYTES``.
        """
        first = self._records[0].offset if self._records else self._end
        later = (record for record in self._records if record.offset >= offset)
        return LogBatch(first, self._end, tuple(_limit_bytes(later)))


def _limit_bytes(records: Iterator[LogRecord]) -> Iterator[LogRecord]:
    size = 0
    for record in records:
        size += len(record.payload)
        yield record
        if size >= MAX_READ_BYTES:
            return
