"""Repeat the step of a task whatever it raises."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from loomyard.events import Event, emit

if TYPE_CHECKING:
    from collections.abc import Callable

    from loomyard.clock import Clock

logger = logging.getLogger(__name__)

FAILURE_PAUSE = 1.0


def repeat(clock: Clock, step: Callable[[], float]) -> None:
    """Run a step and wait for the seconds it returns, for ever; a failed one is tried again."""
    while True:
        try:
            pause = step()
        except Exception as error:  # a task that ends leaves the router with what it has
            emit(logger, Event.HANDLER_FAILED, part="configuration", error=repr(error))
            logger.exception("a step of the configuration failed")
            pause = FAILURE_PAUSE
        if pause:
            clock.sleep(pause)
