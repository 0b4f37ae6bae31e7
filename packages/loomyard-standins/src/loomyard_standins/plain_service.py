"""Plain service over HTTP that records the requests it executed."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import gevent

from loomyard_standins.served_standin import LOOPBACK, ServedStandin

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable


class PlainServer(ServedStandin):
    """Service that answers each request after ``seconds`` with its number and body."""

    def __init__(self, *, seconds: float = 0.01, listen: tuple[str, int] = LOOPBACK) -> None:
        self.seconds = seconds
        self.executed: list[tuple[str, str, bytes]] = []
        super().__init__(listen, self._serve)

    def _serve(self, environ: dict[str, Any], start_response: Callable) -> Iterable[bytes]:
        body = environ["wsgi.input"].read()
        self.executed.append((environ["REQUEST_METHOD"], environ["PATH_INFO"], body))
        number = len(self.executed)
        gevent.sleep(self.seconds)
        headers = [
            ("Content-Type", "application/json"),
            ("Loomyard-Attempt", environ.get("HTTP_LOOMYARD_ATTEMPT", "")),
        ]
        start_response("200 OK", headers)
        return [json.dumps({"number": number, "echo": body.decode(errors="replace")}).encode()]
