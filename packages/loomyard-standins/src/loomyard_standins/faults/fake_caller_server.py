"""A listener for callers without a socket."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from loomyard_router.callers.in_flight import InFlight


class FakeCallerServer:
    """Stand in for ``CallerServer``: calls come from tests instead of a socket."""

    server_port = 0

    def __init__(self, _: Any, app: Callable[..., Any], *, in_flight: InFlight, **__: Any) -> None:
        self._app = app
        self._in_flight = in_flight

    def start(self) -> None:
        """Listen to nobody."""

    def stop(self) -> None:
        """Do nothing."""

    def call(self, environ: dict[str, Any], start_response: Any) -> Iterator[bytes]:
        """Run the application as the server does for one request."""
        self._in_flight.record_start()
        body: Any = None
        try:
            body = self._app(environ, start_response)
            yield from body
        finally:
            if hasattr(body, "close"):
                body.close()
            self._in_flight.record_end()
