"""The end of a start that can't go on, or was told to stop."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from loomyard.errors import ResultCode
from loomyard.events import Event, emit
from loomyard_router.startup.early_signals import write_line

if TYPE_CHECKING:
    from loomyard.errors import Fault

logger = logging.getLogger(__name__)

STATUSES = {
    ResultCode.STOPPING: 0,
    ResultCode.INVALID_SETTING: 2,
    ResultCode.ADDRESS_UNAVAILABLE: 3,
}


def end_early(fault: Fault, after: float) -> int:
    """Say why a start ends, ``after`` seconds; return the exit status of the process."""
    emit(logger, Event.START_ENDED_EARLY, after=after, cause=fault.detail)
    status = STATUSES[fault.code]
    if status:
        write_line(f"{fault.detail} [{fault.code:d}]\n")
    return status
