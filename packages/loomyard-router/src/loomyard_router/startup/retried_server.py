"""A server without which the router can serve."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from loomyard.events import Event, emit
from loomyard_router.supervision.tasks import start_supervised

if TYPE_CHECKING:
    import gevent
    from gevent.baseserver import BaseServer

    from loomyard.clock import Clock

logger = logging.getLogger(__name__)

RETRY_SECONDS = 1.0


class RetriedServer:
    """Start a server; where its address can't be had, try again until the stop."""

    def __init__(self, server: BaseServer, address: str, clock: Clock) -> None:
        self._server = server
        self._address = address
        self._clock = clock
        self._task: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start to accept, now or later; the first failure is logged, and the success after it."""
        try:
            self._server.start()
        except OSError as error:
            emit(logger, Event.METRICS_UNSERVED, address=self._address, error=str(error))
            self._task = start_supervised("metrics", self._clock, self._retry)

    def stop(self) -> None:
        """Stop to accept, or to try."""
        if self._task is not None:
            self._task.kill(block=False)
        self._server.stop(timeout=0)

    def _retry(self) -> None:
        began = self._clock.now()
        while True:
            self._clock.sleep(RETRY_SECONDS)
            try:
                self._server.start()
            except OSError:
                continue
            seconds = round(self._clock.now() - began, 1)
            emit(logger, Event.METRICS_SERVED, address=self._address, seconds=seconds)
            return
