"""Fake of the callers' server, without a socket."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from loomyard_router.callers.in_flight import InFlight


class FakeCallerServer:
    """Fake of ``CallerServer``: tests call the application directly."""

    server_port = 0

    def __init__(self, _: Any, app: Callable[..., Any], *, in_flight: InFlight, **__: Any) -> None:
        self._app = app
        self._in_flight = in_flight

    def start(self) -> None:
        """Do nothing; there is no socket to listen on."""

    def stop(self) -> None:
        """Do nothing; there is no socket to close."""

    def call(self, environ: dict[str, Any], start_response: Any) -> Iterator[bytes]:
        """Run the application for one request and count it as in flight, as the server does."""
        self._in_flight.record_start()
        body: Any = None
        try:
            body = self._app(environ, start_response)
            yield from body
        finally:
            if hasattr(body, "close"):
                body.close()
            self._in_flight.record_end()
