"""A listener that may be left out."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from gevent.pywsgi import WSGIServer


class OptionalListener:
    """Start and stop a server; without one do nothing.

    ``stop_timeout`` is how long open calls may go on, in seconds; ``None`` leaves it to the server.
    """

    def __init__(self, server: WSGIServer | None, *, stop_timeout: float | None = None) -> None:
        self._server = server
        self._stop_timeout = stop_timeout

    @property
    def port(self) -> int:
        return 0 if self._server is None else self._server.server_port

    def start(self) -> None:
        """Start to serve."""
        if self._server is not None:
            self._server.start()

    def stop(self) -> None:
        """Stop to serve."""
        if self._server is not None:
            self._server.stop(timeout=self._stop_timeout)
