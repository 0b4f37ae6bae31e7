"""Minimal HTTP/1.1 server side of the simulated targets."""

from __future__ import annotations

from attrs import frozen
from gevent import socket

READ_BYTES = 65536
HEAD_END = b"\r\n\r\n"


@frozen
class HttpRequest:
    """A request; ``path`` includes the query, header names are lower case."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


class RequestReader:
    """Read requests from a persistent connection."""

    def __init__(self, connection: socket.socket) -> None:
        self._connection = connection
        self._buffer = b""

    def read(self) -> HttpRequest | None:
        """Return the next request, or none if the connection ended."""
        while HEAD_END not in self._buffer:
            if not self._fill():
                return None
        head, _, self._buffer = self._buffer.partition(HEAD_END)
        request_line, *lines = head.decode("latin-1").split("\r\n")
        method, path, _ = request_line.split(" ", 2)
        pairs = (line.partition(":") for line in lines)
        headers = {name.lower(): value.strip() for name, _, value in pairs}
        length = int(headers.get("content-length", 0))
        while len(self._buffer) < length:
            if not self._fill():
                return None
        body, self._buffer = self._buffer[:length], self._buffer[length:]
        return HttpRequest(method, path, headers, body)

    def _fill(self) -> bool:
        try:
            data = self._connection.recv(READ_BYTES)
        except OSError:
            return False
        self._buffer += data
        return bool(data)


def disable_nagle(connection: socket.socket) -> None:
    """Set TCP_NODELAY, so that small writes are sent at once."""
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def send_json(connection: socket.socket, body: bytes, attempt: str = "") -> None:
    """Send a JSON answer with status 200."""
    head = (
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\nLoomyard-Attempt: {attempt}\r\n\r\n"
    )
    connection.sendall(head.encode() + body)
