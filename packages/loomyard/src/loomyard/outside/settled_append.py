"""An append whose lost answer is settled by reading the stream."""

from __future__ import annotations

import random
from itertools import count
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from loomyard.errors import Executed, Fault, ResultCode

if TYPE_CHECKING:
    from collections.abc import Callable

    from loomyard.clock import Clock
    from loomyard.outside.log_service import LogService

FIRST_DELAY = 0.02
LAST_DELAY = 1.0
DELAY_FACTOR = 2.0
JITTER = 0.25
PAGE = 1000


def append_settled(
    log: LogService,
    stream: str,
    payload: bytes,
    record_id: str,
    is_mine: Callable[[bytes], bool],
    deadline: float,
    clock: Clock,
    *,
    since: int = 0,
) -> Result[int, Fault]:
    """Append once and return the offset; after a lost answer look for the record.

    ``is_mine`` tells the payload that carries ``record_id``; ``since`` is an offset that was
    read before the append. The append is never repeated here: its request may still be on
    the way, so that absence proves nothing.

    Errors: ``LOG_UNAVAILABLE`` (not appended), ``LOG_ANSWER_LOST`` (not found by the deadline;
    it may still appear).
    """
    appended = log.append(stream, payload)
    if appended.is_ok() or appended.unwrap_err().code is not ResultCode.LOG_ANSWER_LOST:
        return appended
    position = since
    for attempt in count():
        found, position = _search(log, stream, position, is_mine)
        if found is not None:
            return Ok(found)
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
    """Return the seconds to wait after a failed attempt, counted from 0, with jitter."""
    delay = min(LAST_DELAY, FIRST_DELAY * DELAY_FACTOR ** min(attempt, 32))
    return delay * (1 + random.uniform(-JITTER, JITTER))


def _search(
    log: LogService, stream: str, position: int, is_mine: Callable[[bytes], bool]
) -> tuple[int | None, int]:
    """Read to the end; return the offset found, or where to read on."""
    while True:
        read = log.read(stream, position, limit=PAGE)
        if read.is_err():
            return None, position
        batch = read.unwrap()
        for record in batch.records:
            if is_mine(record.payload):
                return record.offset, position
        position = max(position, batch.first, *(r.offset + 1 for r in batch.records[-1:]))
        if not batch.records or position >= batch.end:
            return None, position
