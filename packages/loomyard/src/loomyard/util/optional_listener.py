"""A listener that does nothing when it is not configured."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from gevent.pywsgi import WSGIServer


class OptionalListener:
    """Start and stop a WSGI server; do nothing if it is ``None``.

    ``stop_timeout`` limits the seconds given to open calls; ``None`` uses the server's default.
    """

    def __init__(self, server: WSGIServer | None, *, stop_timeout: float | None = None) -> None:
        self._server = server
        self._stop_timeout = stop_timeout

    @property
    def port(self) -> int:
        return 0 if self._server is None else self._server.server_port

    def bind(self) -> None:
        """Obtain the address before the start; raise ``OSError`` where it is not free."""
        if self._server is not None:
            self._server.init_socket()

    def start(self) -> None:
        """Start to accept connections."""
        if self._server is not None:
            self._server.start()

    def stop(self) -> None:
        """Stop accepting connections and wait for open calls."""
        if self._server is not None:
            self._server.stop(timeout=self._stop_timeout)
