"""Listener for callers on routes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import gevent
from gevent import Timeout

from loomyard_router.callers.handler import CONNECTION_TIMEOUT, CallerHandler, CallerServer
from loomyard_router.routed.app import HEADERS_KEY
from loomyard_router.routed.arrivals import Arrivals
from loomyard_router.routed.idle_connection import IdleConnection
from loomyard_router.supervision.tasks import run_soon, start_task

if TYPE_CHECKING:
    from collections.abc import Callable

    from loomyard.clock import Clock
    from loomyard_router.routed.arrivals import OffloadsConnections
    from loomyard_router.routed.early_refusal import EarlyRefusal
    from loomyard_router.routes.caller_limits import CallerLimits


# More connections than the kernel holds for a listener.
MAX_UNACCEPTED = 4096


class RoutedHandler(CallerHandler):
    """Serve one connection, within the configured limits on idle time and on reading a head."""

    server: RoutedListener

    @property
    def max_head_bytes(self) -> int:
        return self.server.limits().head_bytes

    @property
    def max_body_bytes(self) -> int:
        return self.server.limits().body_bytes

    def read_requestline(self) -> str:
        self.socket.settimeout(self.server.limits().idle_seconds)
        task = gevent.getcurrent()
        self.server.idle_tasks[task] = self.server.make_idle(self.socket)
        try:
            return super().read_requestline()
        finally:
            self.server.idle_tasks.pop(task, None)
            if self.socket is not None:
                self.socket.settimeout(CONNECTION_TIMEOUT)

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
    closes the one that has been idle longest. While this router lags, or an account may be at its
    limit, ``Arrivals`` decides on new connections before a task is started for them.
    """

    handler_class = RoutedHandler

    def __init__(
        self,
        *arguments: Any,
        clock: Clock,
        limits: Callable[[], CallerLimits],
        early_refusal: EarlyRefusal,
        max_connections: int,
        offloader: OffloadsConnections | None = None,
        **options: Any,
    ) -> None:
        super().__init__(*arguments, **options)
        self._clock = clock
        self.limits = limits
        self.early_refusal = early_refusal
        # Idle connections by their tasks, the longest idle first.
        self.idle_tasks: dict[gevent.Greenlet, IdleConnection] = {}
        self._open_count = 0
        # Connections whose tasks have not started yet.
        self._unserved: dict[gevent.Greenlet, tuple[Any, Any]] = {}
        self._arrivals = Arrivals(
            refusal=early_refusal,
            offloader=offloader,
            serve=self._start_task,
            closed=self._count_closed,
        )
        self._max_connections = max_connections

    @property
    def open_count(self) -> int:
        """Return how many accepted connections are open."""
        return self._open_count

    @property
    def over_connection_limit(self) -> bool:
        return self._open_count > self._max_connections

    def do_handle(self, sock: Any, address: Any) -> None:
        self._open_count += 1
        if self.over_connection_limit:
            self._close_longest_idle()
        try:
            if self._arrivals.are_watched:
                self._arrivals.take(sock, address, self._clock.now())
            else:
                self._start_task(sock, address)
        except BaseException:
            # Otherwise it would count as open for good.
            self.do_close(sock, address)
            raise

    def do_close(self, sock: Any, *arguments: Any) -> None:
        super().do_close(sock, *arguments)
        self._count_closed()

    def stop(self, timeout: float | None = 0) -> None:
        self._arrivals.stop()
        super().stop(timeout)

    def close_listener(self) -> None:
        """Accept what the kernel has accepted, and close the listener; open connections go on.

        The kernel would reset these, and a router that lags or stood still may have many.
        """
        for _ in range(0 if self.closed else MAX_UNACCEPTED):
            try:
                accepted = self.do_read()
            except OSError:
                break
            if not accepted:
                break
            self.do_handle(*accepted)
        self.close()

    def close_idle(self, *, idle_seconds: float = 0.0) -> None:
        """Close the connections without a request, read or unread, for so long."""
        latest = self._clock.now() - idle_seconds
        for task, connection in list(self.idle_tasks.items()):
            if connection.since <= latest:
                self._close_idle(task, connection)

    def make_idle(self, sock: Any) -> IdleConnection:
        """Return that a connection is idle from now on."""
        return IdleConnection(sock, self._clock.now())

    def _start_task(self, sock: Any, address: Any) -> None:
        # Unlike that of the base class it works once the listener is closed, for connections that
        # were accepted before and waited for their first bytes.
        task = start_task("callers", self._serve_connection, sock, address)
        self._unserved[task] = (sock, address)
        task.rawlink(self._close_unserved)
        self.pool.add(task)

    def _serve_connection(self, sock: Any, address: Any) -> None:
        self._unserved.pop(gevent.getcurrent(), None)
        try:
            self.handle(sock, address)
        finally:
            self.do_close(sock, address)

    def _close_unserved(self, task: gevent.Greenlet) -> None:
        """Close the connection of a task that got no memory to start with."""
        unserved = self._unserved.pop(task, None)
        if unserved is not None:
            self.do_close(*unserved)

    def _count_closed(self) -> None:
        self._open_count -= 1

    def _close_longest_idle(self) -> None:
        for task, connection in self.idle_tasks.items():
            if not connection.is_closing:
                self._close_idle(task, connection)
                return

    def _close_idle(self, task: gevent.Greenlet, connection: IdleConnection) -> None:
        connection.is_closing = True
        run_soon("callers", self._end_idle, task, connection)

    def _end_idle(self, task: gevent.Greenlet, connection: IdleConnection) -> None:
        """End the task of a connection unless a request came meanwhile; called by the event loop.

        Closing the socket here would leave it open until the task has finished reading from it.
        """
        connection.is_closing = False
        if self.idle_tasks.get(task) is connection and not connection.has_unread_bytes:
            task.throw(OSError("closing an idle connection"))
