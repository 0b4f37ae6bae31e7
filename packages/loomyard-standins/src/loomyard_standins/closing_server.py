"""A WSGI server whose stop ends its connections."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from gevent.pool import Pool

from loomyard.util.tcp import NoDelayServer

if TYPE_CHECKING:
    from collections.abc import Callable


class ClosingServer(NoDelayServer):
    """End kept connections with the server.

    A connection that is collected while it waits leaves libev a watcher of a closed file.
    """

    def __init__(self, listen: tuple[str, int], application: Callable, **options: Any) -> None:
        super().__init__(listen, application, log=None, spawn=Pool(), **options)

    def stop(self, timeout: float | None = 0) -> None:
        super().stop(timeout)
