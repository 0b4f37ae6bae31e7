"""Unexpected exceptions of tasks, callbacks and listeners, in log and metrics."""

from __future__ import annotations

import logging
import traceback
from collections import Counter

from loomyard.events import Event, emit

logger = logging.getLogger(__name__)

MAX_ERROR_CHARS = 400
MAX_FRAMES = 8

# By the part of the router that failed. Like the log it belongs to the process.
_counts: Counter[str] = Counter()


def record_failure(part: str, error: BaseException) -> None:
    """Log and count an unexpected exception; ``part`` is one of a few names."""
    _counts[part] += 1
    emit(
        logger,
        Event.HANDLER_FAILED,
        part=part,
        error=f"{type(error).__name__}: {error}"[:MAX_ERROR_CHARS],
        at=[
            f"{frame.filename.rpartition('/')[2]}:{frame.lineno} {frame.name}"
            for frame in traceback.extract_tb(error.__traceback__)[-MAX_FRAMES:]
        ],
    )


def failure_counts() -> dict[str, int]:
    """Return the number of failures since the start of the process, by part."""
    return dict(_counts)
