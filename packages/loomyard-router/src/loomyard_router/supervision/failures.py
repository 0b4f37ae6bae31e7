"""Unexpected exceptions of tasks, callbacks and listeners, in log and metrics."""

from __future__ import annotations

import logging
import traceback
from collections import Counter

from loomyard.clock import boottime_seconds
from loomyard.events import Event, emit
from loomyard_router.memory.shortages import note_shortage

logger = logging.getLogger(__name__)

MAX_ERROR_CHARS = 400
MAX_FRAMES = 8
# Failures of one part with one type of error are logged at most so often.
LOG_SECONDS = 1.0

# By the part of the router that failed. Like the log it belongs to the process.
_counts: Counter[str] = Counter()
# By part and type of error: when the next may be logged, and how many were not logged meanwhile.
_next_log_at: dict[tuple[str, str], float] = {}
_left_out: Counter[tuple[str, str]] = Counter()


def record_failure(part: str, error: BaseException) -> None:
    """Count an unexpected exception, and log it unless the same was logged within ``LOG_SECONDS``.

    ``part`` is one of a few names.
    """
    try:
        _counts[part] += 1
        note_shortage(error)
        key = (part, type(error).__name__)
        now = boottime_seconds()
        if now < _next_log_at.get(key, 0.0):
            _left_out[key] += 1
            return
        _next_log_at[key] = now + LOG_SECONDS
        _log(part, error, _left_out.pop(key, 0))
    except MemoryError:
        # Whoever records a failure goes on; the shortage is known.
        return


def failure_counts() -> dict[str, int]:
    """Return the number of failures since the start of the process, by part."""
    return dict(_counts)


def _log(part: str, error: BaseException, left_out: int) -> None:
    extra = {"left_out": left_out} if left_out else {}
    emit(
        logger,
        Event.HANDLER_FAILED,
        part=part,
        error=f"{type(error).__name__}: {error}"[:MAX_ERROR_CHARS],
        at=[
            f"{frame.filename.rpartition('/')[2]}:{frame.lineno} {frame.name}"
            for frame in traceback.extract_tb(error.__traceback__)[-MAX_FRAMES:]
        ],
        **extra,
    )
