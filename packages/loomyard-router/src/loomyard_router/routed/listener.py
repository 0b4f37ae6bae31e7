"""Listener for callers on routes."""

from __future__ import annotations

import socket as sockets
from typing import TYPE_CHECKING, Any

import gevent
from gevent import Timeout

from loomyard_router.callers.handler import CONNECTION_TIMEOUT, CallerHandler, CallerServer
from loomyard_router.routed.app import HEADERS_KEY

if TYPE_CHECKING:
    from collections.abc import Callable

    from loomyard.clock import Clock
    from loomyard_router.routed.early_refusal import EarlyRefusal
    from loomyard_router.routes.caller_limits import CallerLimits


PEEK_BYTES = 65536
# For so long the rest of a refused request is read and dropped; most callers have sent it by then.
DISCARD_SECONDS = 1.0


class RoutedHandler(CallerHandler):
    """Serve one connection, within the configured limits on idle time and on reading a head."""

    server: RoutedListener
    accepted_at = 0.0
    _first = True

    @property
    def max_head_bytes(self) -> int:
        return self.server.limits().head_bytes

    @property
    def max_body_bytes(self) -> int:
        return self.server.limits().body_bytes

    def read_requestline(self) -> str:
        self.socket.settimeout(self.server.limits().idle_seconds)
        task = gevent.getcurrent()
        self.server.idle_tasks[task] = None
        first, self._first = self._first, False
        try:
            if first and self.server.early_refusal.enabled and self._refuse_early():
                return ""
            return super().read_requestline()
        finally:
            self.server.idle_tasks.pop(task, None)
            if self.socket is not None:
                self.socket.settimeout(CONNECTION_TIMEOUT)

    def _refuse_early(self) -> bool:
        """Send a refusal that the first bytes of a request decide; tell whether there was one."""
        first = self.socket.recv(PEEK_BYTES, sockets.MSG_PEEK)
        refused = self.server.early_refusal.check(first, self.accepted_at)
        if refused is None:
            return False
        self.socket.sendall(refused.answer)
        # A close with unread data resets the connection, which can destroy the answer in flight.
        remaining = refused.size
        self.socket.settimeout(DISCARD_SECONDS)
        while remaining > 0 and (data := self.socket.recv(min(remaining, PEEK_BYTES))):
            remaining -= len(data)
        return True

    def read_request(self, raw_requestline: str) -> bool:
        with Timeout(self.server.limits().head_seconds, ValueError("the head took too long")):
            return super().read_request(raw_requestline)

    def get_environ(self) -> dict[str, Any]:
        environ = super().get_environ()
        environ[HEADERS_KEY] = list(self.headers.items())
        return environ


class RoutedListener(CallerServer):
    """Accept connections of callers; ``limits`` is called for each request.

    While more than ``max_connections`` are open, answers close theirs, and each new connection
    closes the one that has been idle longest.
    """

    handler_class = RoutedHandler

    def __init__(
        self,
        *arguments: Any,
        clock: Clock,
        limits: Callable[[], CallerLimits],
        early_refusal: EarlyRefusal,
        max_connections: int,
        **options: Any,
    ) -> None:
        super().__init__(*arguments, **options)
        self._clock = clock
        self.limits = limits
        self.early_refusal = early_refusal
        # Tasks of idle connections, the longest idle first.
        self.idle_tasks: dict[gevent.Greenlet, None] = {}
        self._open_count = 0
        self._max_connections = max_connections

    @property
    def over_connection_limit(self) -> bool:
        return self._open_count > self._max_connections

    def do_handle(self, sock: Any, address: Any) -> None:
        super().do_handle(sock, address, self._clock.now())

    def handle(self, sock: Any, address: Any, accepted_at: float) -> None:
        self._open_count += 1
        if self.over_connection_limit:
            self._close_longest_idle()
        sock.settimeout(CONNECTION_TIMEOUT)
        handler = self.handler_class(sock, address, self)
        handler.accepted_at = accepted_at
        try:
            handler.handle()
        finally:
            self._open_count -= 1

    def close_listener(self) -> None:
        """Close the listener; open connections go on."""
        self.close()

    def close_idle(self) -> None:
        """Close the connections on which no request is in progress."""
        for task in list(self.idle_tasks):
            _kill_idle(task)

    def _close_longest_idle(self) -> None:
        oldest = next(iter(self.idle_tasks), None)
        if oldest is not None:
            self.idle_tasks.pop(oldest)
            _kill_idle(oldest)


def _kill_idle(task: gevent.Greenlet) -> None:
    # Closing the socket here would leave it open until the task has finished reading from it.
    task.kill(OSError("closing an idle connection"), block=False)
