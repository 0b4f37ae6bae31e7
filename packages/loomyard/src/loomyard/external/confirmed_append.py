"""Append to the log service, confirmed by reading the stream if the answer is lost."""

from __future__ import annotations

import random
from itertools import count
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from loomyard.errors import Executed, Fault, ResultCode

if TYPE_CHECKING:
    from collections.abc import Callable

    from loomyard.clock import Clock
    from loomyard.external.log_service import LogService

MIN_DELAY_SECONDS = 0.02
MAX_DELAY_SECONDS = 1.0
DELAY_FACTOR = 2.0
JITTER = 0.25
PAGE_RECORDS = 1000


def append_confirmed(
    log: LogService,
    stream: str,
    payload: bytes,
    record_id: str,
    is_match: Callable[[bytes], bool],
    deadline: float,
    clock: Clock,
    *,
    since: int = 0,
) -> Result[int, Fault]:
    """Append once and return the offset; after a lost answer search the stream for the record.

    ``is_match`` returns whether a payload has ``record_id``; the search starts at ``since``, an
    offset that was read before the append. The append is never repeated: its request may still be
    in transit, so the absence of the record does not prove that it failed.

    Errors: ``LOG_UNAVAILABLE`` (not appended), ``LOG_ANSWER_LOST`` (not found by the deadline;
    it may still appear).
    """
    appended = log.append(stream, payload)
    if appended.is_ok() or appended.unwrap_err().code is not ResultCode.LOG_ANSWER_LOST:
        return appended
    position = since
    for attempt in count():
        offset, position = _search(log, stream, position, is_match)
        if offset is not None:
            return Ok(offset)
        left = deadline - clock.now()
        if left <= 0:
            break
        clock.sleep(min(left, backoff_seconds(attempt)))
    return Err(
        Fault(
            code=ResultCode.LOG_ANSWER_LOST,
            detail=f"record {record_id} was not found in {stream} by the deadline",
            executed=Executed.UNKNOWN,
        )
    )


def backoff_seconds(attempt: int) -> float:
    """Return the exponential back-off in seconds, with jitter; attempts count from 0."""
    delay = min(MAX_DELAY_SECONDS, MIN_DELAY_SECONDS * DELAY_FACTOR ** min(attempt, 32))
    return delay * (1 + random.uniform(-JITTER, JITTER))


def _search(
    log: LogService, stream: str, position: int, is_match: Callable[[bytes], bool]
) -> tuple[int | None, int]:
    """Read up to the end; return the record's offset or ``None``, and the next position to read."""
    while True:
        read = log.read(stream, position, limit=PAGE_RECORDS)
        if read.is_err():
            return None, position
        batch = read.unwrap()
        for record in batch.records:
            if is_match(record.payload):
                return record.offset, position
        position = max(position, batch.first, *(r.offset + 1 for r in batch.records[-1:]))
        if not batch.records or position >= batch.end:
            return None, position
