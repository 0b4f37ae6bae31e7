"""A plain service over HTTP that counts what it ran."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import gevent

from loomyard_standins.closing_server import ClosingServer

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable


class PlainServer:
    """A service that answers after some seconds."""

    def __init__(
        self, *, seconds: float = 0.01, listen: tuple[str, int] = ("127.0.0.1", 0)
    ) -> None:
        self.seconds = seconds
        self.ran: list[tuple[str, str, bytes]] = []
        self._server = ClosingServer(listen, self._serve)

    @property
    def url(self) -> str:
        return f"http://{self._server.server_host}:{self._server.server_port}"

    def start(self) -> None:
        """Start to serve."""
        self._server.start()

    def stop(self) -> None:
        """Stop to serve."""
        self._server.stop()

    def _serve(self, environ: dict[str, Any], start_response: Callable) -> Iterable[bytes]:
        body = environ["wsgi.input"].read()
        self.ran.append((environ["REQUEST_METHOD"], environ["PATH_INFO"], body))
        number = len(self.ran)
        gevent.sleep(self.seconds)
        headers = [
            ("Content-Type", "application/json"),
            ("Loomyard-Attempt", environ.get("HTTP_LOOMYARD_ATTEMPT", "")),
        ]
        start_response("200 OK", headers)
        return [json.dumps({"number": number, "echo": body.decode(errors="replace")}).encode()]
