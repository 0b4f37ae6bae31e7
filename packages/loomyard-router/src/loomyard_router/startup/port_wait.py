"""Wait for addresses that other processes still have."""

from __future__ import annotations

import errno
import logging
import os
from typing import TYPE_CHECKING, TypeVar

from result import Err, Ok, Result

from loomyard.errors import Fault, ResultCode
from loomyard.events import Event, emit

if TYPE_CHECKING:
    from collections.abc import Callable

    from gevent.event import Event as GeventEvent

    from loomyard.clock import Clock

logger = logging.getLogger(__name__)

# Another process ends, or the VM gets its address late while it boots.
PASSING_ERRORS = (errno.EADDRINUSE, errno.EADDRNOTAVAIL)
RETRY_SECONDS = 0.1
REPORT_SECONDS = 1.0

T = TypeVar("T")


class PortWait:
    """Obtain addresses one after the other, all before one deadline and until a stop."""

    def __init__(self, clock: Clock, deadline: float, stopping: GeventEvent) -> None:
        self._clock = clock
        self._deadline = deadline
        self._stopping = stopping

    def obtain(self, address: str, attempt: Callable[[], T]) -> Result[T, Fault]:
        """Repeat an attempt that raises ``OSError``; log once a second what it waits for.

        The fault is ``STOPPING`` after a stop, otherwise ``ADDRESS_UNAVAILABLE``.
        """
        began = self._clock.now()
        report_at = began
        while not self._stopping.is_set():
            try:
                value = attempt()
            except OSError as error:
                now = self._clock.now()
                if error.errno not in PASSING_ERRORS or now >= self._deadline:
                    return Err(_unavailable(address, error, now - began))
                if now >= report_at:
                    _report(Event.PORT_AWAITED, address, now - began, error=_describe(error))
                    report_at = now + REPORT_SECONDS
            else:
                if report_at > began:
                    _report(Event.PORT_OBTAINED, address, self._clock.now() - began)
                return Ok(value)
            self._stopping.wait(RETRY_SECONDS)
        return Err(Fault(code=ResultCode.STOPPING, detail=f"a stop while it waited for {address}"))


def _report(event: Event, address: str, seconds: float, **fields: object) -> None:
    emit(logger, event, address=address, seconds=round(seconds, 1), **fields)


def _unavailable(address: str, error: OSError, seconds: float) -> Fault:
    detail = f"the router can't listen at {address}: {_describe(error)}, for {seconds:.1f} s"
    return Fault(code=ResultCode.ADDRESS_UNAVAILABLE, detail=detail)


def _describe(error: OSError) -> str:
    # gevent appends the address to the text of some errors.
    known = error.errno in errno.errorcode
    return os.strerror(error.errno) if known and error.errno is not None else str(error)
