"""Simulated plain service whose work takes the seconds that the request states."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import gevent
from gevent.lock import BoundedSemaphore
from gevent.server import StreamServer

from loomyard_standins.benches.busy_meter import BusyMeter
from loomyard_standins.benches.http_request import RequestReader, disable_nagle, send_json

if TYPE_CHECKING:
    from gevent import socket

MAX_SECONDS = 5.0


class PlainTarget:
    """HTTP server with a bounded number of workers."""

    def __init__(self, *, host: str, slots: int) -> None:
        self.meter = BusyMeter()
        self._workers = BoundedSemaphore(slots)
        self._server = StreamServer((host, 0), self._serve)

    @property
    def url(self) -> str:
        return f"http://{self._server.server_host}:{self._server.server_port}"

    def start(self) -> None:
        """Start listening."""
        self._server.start()

    def step(self) -> None:
        """Do nothing; only engines work in steps."""

    def _serve(self, connection: socket.socket, _: object) -> None:
        disable_nagle(connection)
        reader = RequestReader(connection)
        while (request := reader.read()) is not None:
            if request.method == "POST" and request.body:
                self._work(min(MAX_SECONDS, float(json.loads(request.body)["seconds"])))
            send_json(connection, b"{}", request.headers.get("loomyard-attempt", ""))

    def _work(self, seconds: float) -> None:
        with self._workers:
            self.meter.add(1)
            gevent.sleep(seconds)
            self.meter.add(-1)
