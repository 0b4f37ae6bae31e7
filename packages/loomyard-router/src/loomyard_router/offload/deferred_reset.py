"""Reset of a connection after what was sent on it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent

from loomyard.util.tcp import count_unacknowledged
from loomyard_router.supervision.guard import call_guarded

if TYPE_CHECKING:
    from collections.abc import Callable
    from socket import socket

PART = "splice"
CHECK_SECONDS = 0.02
# A receiver that takes nothing for so many checks is given up.
MAX_IDLE_CHECKS = 150


class DeferredReset:
    """Call ``done`` once a peer has acknowledged all that was sent, or takes nothing more.

    A reset drops what is still to be sent, and a peer may have the whole of an answer by then that
    tells its end by itself.
    """

    def __init__(self, sock: socket, done: Callable[[], None]) -> None:
        self._socket = sock
        self._done = done
        self._unacknowledged = count_unacknowledged(sock)
        self._idle_checks = 0
        self._timer = gevent.get_hub().loop.timer(CHECK_SECONDS, CHECK_SECONDS)

    def start(self) -> None:
        """Begin to wait; without anything to wait for, ``done`` is called at once."""
        if self._unacknowledged:
            self._timer.start(call_guarded, PART, self._check)
        else:
            self.stop()
            self._done()

    def stop(self) -> None:
        """Wait no more, before the socket is closed."""
        self._timer.stop()
        self._timer.close()

    def _check(self) -> None:
        left = count_unacknowledged(self._socket)
        self._idle_checks = 0 if left < self._unacknowledged else self._idle_checks + 1
        self._unacknowledged = left
        if not left or self._idle_checks >= MAX_IDLE_CHECKS:
            self.stop()
            self._done()
