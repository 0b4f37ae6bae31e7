"""WSGI server that closes its open connections when it stops."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from gevent.pool import Pool

from loomyard.util.tcp import NoDelayServer

if TYPE_CHECKING:
    from collections.abc import Callable


class ClosingServer(NoDelayServer):
    """WSGI server without an access log that ends the tasks of its connections in ``stop``.

    A connection task that is garbage-collected while it waits for data would leave libev with a
    watcher on a closed file descriptor.
    """

    def __init__(self, listen: tuple[str, int], application: Callable, **options: Any) -> None:
        super().__init__(listen, application, log=None, spawn=Pool(), **options)

    def stop(self, timeout: float | None = 0) -> None:
        super().stop(timeout)
