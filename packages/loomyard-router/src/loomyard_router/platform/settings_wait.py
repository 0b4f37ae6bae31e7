"""The first reading of the settings file, which may be written at the same moment."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from attrs import frozen
from result import Err, Ok, Result

from loomyard.errors import Fault, ResultCode
from loomyard.events import Event, emit
from loomyard_router.platform.settings_file import (
    ends_in_a_line,
    read_secrets,
    read_settings,
)
from loomyard_router.platform.settings_watch import Signature, file_signature
from loomyard_router.routed_settings import RoutedSettings

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from gevent.event import Event as GeventEvent

    from loomyard.clock import Clock

logger = logging.getLogger(__name__)

# A file that is being written is whole a moment later; one that is not needs an operator.
WAIT_SECONDS = 3.0
RETRY_SECONDS = 0.1
REPORT_SECONDS = 1.0


@frozen
class FirstSettings:
    """Settings, and the signature of their file from just before the reading."""

    settings: RoutedSettings
    signature: Signature


def await_settings(
    environment: Mapping[str, str],
    clock: Clock,
    stopping: GeventEvent,
    begin_reading: Callable[[], None],
) -> Result[FirstSettings, Fault]:
    """Read the file until it is whole, for ``WAIT_SECONDS``; log once a second what it lacks.

    A file whose last line has no end is read twice, since a cut address would be in force until
    the next start.

    ``begin_reading`` is called before each reading. The fault is ``STOPPING`` after a stop,
    otherwise ``INVALID_SETTING``.
    """
    secrets = read_secrets(environment)
    if secrets.is_err():
        return Err(Fault(code=ResultCode.INVALID_SETTING, detail=secrets.unwrap_err()))
    deadline = clock.now() + WAIT_SECONDS
    report_at = clock.now()
    earlier: Signature | None = None
    while not stopping.is_set():
        signature = file_signature(environment)
        begin_reading()
        match read_settings(environment):
            case Ok(settings) if signature == earlier or ends_in_a_line(environment):
                return Ok(FirstSettings(settings, signature))
            case Ok():
                # A writer that is at work goes on; a file that stays so is meant so.
                detail, earlier = "the last line has no end", signature
            case Err(detail):
                pass
        now = clock.now()
        if now >= deadline:
            return Err(Fault(code=ResultCode.INVALID_SETTING, detail=detail))
        if now >= report_at:
            emit(logger, Event.SETTINGS_AWAITED, detail=detail, until=round(deadline, 1))
            report_at = now + REPORT_SECONDS
        stopping.wait(RETRY_SECONDS)
    return Err(Fault(code=ResultCode.STOPPING, detail="a stop while it waited for its settings"))
