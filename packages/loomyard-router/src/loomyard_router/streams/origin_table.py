"""The records of streams that a router holds."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from attrs import evolve

if TYPE_CHECKING:
    from loomyard.clock import Clock
    from loomyard_router.streams.origin_record import OriginRecord

# About 400 bytes each. A router holds some thousands: for each stream that began lately three
# routers have a record.
MAX_RECORDS = 16_384


class OriginTable:
    """Records by attempt id, bounded in time and number.

    Over the limit the record goes that was added or renewed longest ago.
    """

    def __init__(self, clock: Clock, max_records: int = MAX_RECORDS) -> None:
        self.evicted = 0
        self._clock = clock
        self._max_records = max_records
        self._records: OrderedDict[str, OriginRecord] = OrderedDict()

    def __len__(self) -> int:
        return len(self._records)

    def add(self, record: OriginRecord) -> OriginRecord:
        """Add or renew a record; of two origins under one id the first stays."""
        known = self.find(record.attempt_id)
        if known is not None:
            record = evolve(record, origin=known.origin, until=max(known.until, record.until))
        self._records[record.attempt_id] = record
        self._records.move_to_end(record.attempt_id)
        while len(self._records) > self._max_records:
            self._records.popitem(last=False)
            self.evicted += 1
        return record

    def find(self, attempt_id: str) -> OriginRecord | None:
        """Return the record of a stream, ``None`` without one that has not expired."""
        record = self._records.get(attempt_id)
        return None if record is None or record.until <= self._clock.now() else record

    def records(self) -> list[OriginRecord]:
        """Return all records."""
        return list(self._records.values())

    def expire(self) -> None:
        """Drop expired records."""
        now = self._clock.now()
        for record in self.records():
            if record.until <= now:
                del self._records[record.attempt_id]
