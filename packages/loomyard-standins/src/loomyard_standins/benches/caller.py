"""HTTP caller on one persistent connection that counts events without parsing them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
from attrs import frozen
from gevent import socket

if TYPE_CHECKING:
    from collections.abc import Callable

READ_BYTES = 65536
TIMEOUT_SECONDS = 120.0
HEAD_END = b"\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
EVENT_END = b"\n\n"
USAGE = b'"usage":'
DONE = b"[DONE]"
HTTP_OK = 200


@frozen
class Reply:
    """An answer: ``complete`` is false if it was truncated, ``retry_after`` is in seconds."""

    status: int
    complete: bool
    retry_after: float = 1.0
    body: bytes = b""


class Caller:
    """Send requests of one client account to one router."""

    def __init__(self, get_port: Callable[[], int], key: str) -> None:
        self._get_port = get_port
        self._key = key
        self._port = 0
        self._socket: socket.socket | None = None

    def call(self, path: str, body: bytes, hint: float | None, on_tokens: Callable) -> Reply:
        """Send a request and read its answer; call ``on_tokens`` with the tokens of each read.

        Raises OSError if the router is unreachable or closes the connection.
        """
        cost = f"Loomyard-Cost-Hint: {hint:.3f}\r\n" if hint is not None else ""
        head = (
            f"POST {path} HTTP/1.1\r\nHost: router\r\nAuthorization: Bearer {self._key}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n{cost}\r\n"
        )
        try:
            connection = self._connect()
            connection.sendall(head.encode() + body)
            reply = read_reply(connection, on_tokens)
        except OSError:
            self.close()
            raise
        except gevent.GreenletExit:
            self.close()
            raise
        if not reply.complete:
            self.close()
        return reply

    def close(self) -> None:
        """Close the connection."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def _connect(self) -> socket.socket:
        port = self._get_port()
        if port != self._port:
            self.close()
            self._port = port
        if self._socket is None:
            self._socket = socket.create_connection(("127.0.0.1", port), TIMEOUT_SECONDS)
            self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return self._socket


def read_reply(connection: socket.socket, on_tokens: Callable) -> Reply:
    """Read one answer; call ``on_tokens`` with the number of tokens of each read.

    Raises ConnectionResetError if the connection ends before the headers do.
    """
    data = b""
    while HEAD_END not in data:
        block = connection.recv(READ_BYTES)
        if not block:
            raise ConnectionResetError("the router closed the connection")
        data += block
    head, _, rest = data.partition(HEAD_END)
    status = int(head[9:12])
    lower = head.lower()
    if b"chunked" in lower:
        stream = b"event-stream" in lower
        complete = _read_chunks(connection, rest, on_tokens if stream else None)
        return Reply(status, complete)
    length = int(_header(lower, b"content-length") or 0)
    while len(rest) < length:
        block = connection.recv(READ_BYTES)
        if not block:
            return Reply(status, False)
        rest += block
    retry_after = float(_header(lower, b"retry-after") or 1.0)
    closes = b"connection: close" in lower
    return Reply(status, not closes, retry_after, rest)


def _read_chunks(connection: socket.socket, data: bytes, on_tokens: Callable | None) -> bool:
    rest = tail = b""
    while True:
        if on_tokens is not None and data:
            # Count complete events only, since a read may end within an event or its end mark.
            events, end, rest = (rest + data).rpartition(EVENT_END)
            if end:
                events += end
                on_tokens(events.count(EVENT_END) - events.count(USAGE) - events.count(DONE))
        tail = (tail + data)[-len(LAST_CHUNK) :]
        if tail == LAST_CHUNK:
            return True
        data = connection.recv(READ_BYTES)
        if not data:
            return False


def _header(head: bytes, name: bytes) -> bytes | None:
    for line in head.split(b"\r\n"):
        key, _, value = line.partition(b":")
        if key.strip() == name:
            return value.strip()
    return None
