"""The listener for callers on routes."""

from __future__ import annotations

import socket as sockets
from typing import TYPE_CHECKING, Any

import gevent
from gevent import Timeout

from loomyard_router.callers.handler import CONNECTION_TIMEOUT, CallerHandler, CallerServer
from loomyard_router.routed.app import HEADERS_KEY

if TYPE_CHECKING:
    from collections.abc import Callable

    from loomyard_router.routed.early_refusal import EarlyRefusal
    from loomyard_router.routes.caller_limits import CallerLimits


PEEK_BYTES = 65536
# A caller whose request was refused has sent most of it by then.
DISCARD_SECONDS = 1.0


class RoutedHandler(CallerHandler):
    """Keep idle connections as long as the configuration says, and close them at a stop."""

    server: RoutedListener
    _first = True

    def read_requestline(self) -> str:
        self.socket.settimeout(self.server.limits().idle_seconds)
        task = gevent.getcurrent()
        self.server.idle[task] = None
        first, self._first = self._first, False
        try:
            if first and self.server.early.watching and self._refuse_early():
                return ""
            return super().read_requestline()
        finally:
            self.server.idle.pop(task, None)
            if self.socket is not None:
                self.socket.settimeout(CONNECTION_TIMEOUT)

    def _refuse_early(self) -> bool:
        """Answer a request by its first bytes where that is all it needs."""
        refused = self.server.early.judge(self.socket.recv(PEEK_BYTES, sockets.MSG_PEEK))
        if refused is None:
            return False
        self.socket.sendall(refused.answer)
        # A close before all was read would destroy the answer on its way.
        left = refused.size
        self.socket.settimeout(DISCARD_SECONDS)
        while left > 0 and (data := self.socket.recv(min(left, PEEK_BYTES))):
            left -= len(data)
        return True

    def read_request(self, raw_requestline: str) -> bool:
        with Timeout(self.server.limits().head_seconds, ValueError("the head took too long")):
            return super().read_request(raw_requestline)

    def get_environ(self) -> dict[str, Any]:
        environ = super().get_environ()
        environ[HEADERS_KEY] = list(self.headers.items())
        return environ


class RoutedListener(CallerServer):
    """Accept callers; ``limits`` are read for each request.

    Where more than ``most_connections`` are open, answers close theirs and the idle ones that
    rested longest are closed.
    """

    handler_class = RoutedHandler

    def __init__(
        self,
        *arguments: Any,
        limits: Callable[[], CallerLimits],
        early_refusal: EarlyRefusal,
        max_connections: int,
        **options: Any,
    ) -> None:
        super().__init__(*arguments, **options)
        self.limits = limits
        self.early = early_refusal
        # In the order in which they began to rest.
        self.idle: dict[gevent.Greenlet, None] = {}
        self._open = 0
        self._most_connections = max_connections

    @property
    def over_connection_limit(self) -> bool:
        return self._open > self._most_connections

    def handle(self, sock: Any, address: Any) -> None:
        self._open += 1
        if self.over_connection_limit:
            self._close_oldest()
        try:
            super().handle(sock, address)
        finally:
            self._open -= 1

    def close_listener(self) -> None:
        """Close the listener; open connections go on."""
        self.close()

    def close_idle(self) -> None:
        """Close connections on which no request is on its way."""
        for task in list(self.idle):
            _end(task)

    def _close_oldest(self) -> None:
        oldest = next(iter(self.idle), None)
        if oldest is not None:
            self.idle.pop(oldest)
            _end(oldest)


def _end(task: gevent.Greenlet) -> None:
    # Closing the socket from here would leave it open for as long as the task reads it.
    task.kill(OSError("the connection is given up"), block=False)
