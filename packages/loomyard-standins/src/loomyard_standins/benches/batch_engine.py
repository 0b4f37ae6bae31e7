"""Simulated model engine in which one task generates the tokens of the whole batch."""

from __future__ import annotations

import json
from collections import OrderedDict, deque
from typing import TYPE_CHECKING

from gevent.server import StreamServer

from loomyard_standins.benches.batch_stream import BatchStream
from loomyard_standins.benches.busy_meter import BusyMeter
from loomyard_standins.benches.http_request import (
    HttpRequest,
    RequestReader,
    disable_nagle,
    send_json,
)

if TYPE_CHECKING:
    from gevent import socket

STREAM_HEAD = (
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
    "Loomyard-Attempt: {attempt}\r\n\r\n"
)
NOT_FOUND = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
CHARACTERS_PER_TOKEN = 4
MAX_RECORDED_ATTEMPTS = 1024
MAX_WAITING = 4096


class BatchEngine:
    """HTTP engine with a bounded batch; requests enter the batch in order of arrival."""

    def __init__(self, *, host: str, model: str, slots: int, step_seconds: float) -> None:
        self.meter = BusyMeter()
        self._model = model
        self._slots = slots
        self._step_seconds = step_seconds
        self._running: list[BatchStream] = []
        self._waiting: deque[BatchStream] = deque(maxlen=MAX_WAITING)
        self._attempts: OrderedDict[str, BatchStream] = OrderedDict()
        self._server = StreamServer((host, 0), self._serve)

    @property
    def url(self) -> str:
        return f"http://{self._server.server_host}:{self._server.server_port}"

    def start(self) -> None:
        """Start listening; the owner must call ``step`` once per generation step."""
        self._server.start()

    def stop(self) -> None:
        """Stop listening."""
        self._server.stop()

    def step(self) -> None:
        """Admit waiting requests to free batch slots and generate one token of each running one."""
        while self._waiting and len(self._running) < self._slots:
            self._running.append(self._waiting.popleft())
            self.meter.add(1)
        ended = [stream for stream in self._running if stream.step()]
        for stream in ended:
            self._running.remove(stream)
            self.meter.add(-1)
            stream.close()

    def _serve(self, connection: socket.socket, _: object) -> None:
        disable_nagle(connection)
        reader = RequestReader(connection)
        while (request := reader.read()) is not None:
            if not self._answer(connection, request):
                return

    def _answer(self, connection: socket.socket, request: HttpRequest) -> bool:
        path, _, _ = request.path.partition("?")
        if path.endswith("/completions"):
            return self._complete(connection, request)
        if path.endswith("/cancel"):
            if stream := self._attempts.get(path.split("/")[2]):
                stream.cancelled = True
            send_json(connection, b"{}")
        elif path == "/load":
            send_json(connection, json.dumps(self._load()).encode())
        elif path == "/cache-events":
            send_json(connection, b"[]")
        else:
            connection.sendall(NOT_FOUND)
        return True

    def _complete(self, connection: socket.socket, request: HttpRequest) -> bool:
        document = json.loads(request.body)
        stream = BatchStream(
            request.headers.get("loomyard-attempt", ""),
            max(1, len(document["prompt"]) // CHARACTERS_PER_TOKEN),
            int(document["max_tokens"]),
            bool(document.get("stream")),
            connection,
        )
        self._record_attempt(stream)
        if stream.is_stream:
            connection.sendall(STREAM_HEAD.format(attempt=stream.attempt).encode())
        connection.settimeout(0.0)
        self._waiting.append(stream)
        stream.ended.wait()
        if stream.disconnected:
            return False
        connection.settimeout(None)
        stream.flush()
        if not stream.is_stream:
            send_json(connection, b'{"choices":[],"usage":%s}' % stream.usage(), stream.attempt)
        return True

    def _record_attempt(self, stream: BatchStream) -> None:
        self._attempts[stream.attempt] = stream
        while len(self._attempts) > MAX_RECORDED_ATTEMPTS:
            self._attempts.popitem(last=False)

    def _load(self) -> dict[str, object]:
        return {
            "running": len(self._running),
            "waiting": len(self._waiting),
            "step_seconds": self._step_seconds,
            "models": [self._model],
        }
