"""Loop of a background task that survives exceptions of its step."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from loomyard.events import Event, emit

if TYPE_CHECKING:
    from collections.abc import Callable

    from loomyard.clock import Clock

logger = logging.getLogger(__name__)

FAILURE_PAUSE_SECONDS = 1.0


def run_repeatedly(clock: Clock, step: Callable[[], float]) -> None:
    """Run a step forever, sleeping for the seconds it returns; retry it after an exception."""
    while True:
        try:
            pause = step()
        except Exception as error:  # if the task ended, the configuration would never be updated
            emit(logger, Event.HANDLER_FAILED, part="configuration", error=repr(error))
            logger.exception("a step of the configuration failed")
            pause = FAILURE_PAUSE_SECONDS
        if pause:
            clock.sleep(pause)
