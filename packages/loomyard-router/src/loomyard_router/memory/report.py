"""The log line of the limits on memory and descriptors."""

from __future__ import annotations

import logging

import attrs

from loomyard.events import Event, emit
from loomyard_router.memory.limits import read_limits
from loomyard_router.memory.usage import read_usage

logger = logging.getLogger(__name__)


def report_limits(stated_mb: float) -> None:
    """Log the limits in force, what users state in megabytes, and what is used, in bytes."""
    emit(
        logger,
        Event.LIMITS_FOUND,
        stated_mb=stated_mb,
        **{f"limit_{name}": limit for name, limit in attrs.asdict(read_limits()).items()},
        **attrs.asdict(read_usage()),
    )
