"""Loop of a background task that survives exceptions of its step."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loomyard_router.supervision.failures import record_failure

if TYPE_CHECKING:
    from collections.abc import Callable

    from loomyard.clock import Clock

FAILURE_PAUSE_SECONDS = 1.0


def run_repeatedly(clock: Clock, step: Callable[[], float]) -> None:
    """Run a step forever, sleeping for the seconds it returns; retry it after an exception."""
    while True:
        try:
            pause = step()
        except Exception as error:  # if the task ended, the configuration would never be updated
            record_failure("configuration", error)
            pause = FAILURE_PAUSE_SECONDS
        if pause:
            clock.sleep(pause)
