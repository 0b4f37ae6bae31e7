"""Target whose answers a test scripts byte by byte."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen
from gevent.pool import Pool
from gevent.server import StreamServer

if TYPE_CHECKING:
    from collections.abc import Callable

    from gevent.socket import socket

    Script = Callable[["ReceivedCall", socket], bool | None]

HEAD_END = b"\r\n\r\n"
READ_SIZE = 65536


@frozen(kw_only=True)
class ReceivedCall:
    """Received request; ``line`` is method and path, ``connection`` counts from 0."""

    connection: int
    line: str
    headers: dict[str, str]
    body: bytes

    @property
    def attempt(self) -> str:
        return self.headers.get("loomyard-attempt", "")

    @property
    def is_cancel(self) -> bool:
        return self.line.endswith("/cancel")


class ScriptedTarget:
    """TCP server that calls a script for each request except cancels, which it answers itself.

    The script gets the request and the socket; the connection is closed unless it returns true.
    """

    def __init__(self, script: Script) -> None:
        self.script = script
        self.calls: list[ReceivedCall] = []
        self._connections = 0
        self._server = StreamServer(("127.0.0.1", 0), self._handle, spawn=Pool())

    @property
    def url(self) -> str:
        return f"http://127.0.0.1:{self._server.server_port}"

    @property
    def work_calls(self) -> list[ReceivedCall]:
        """Return the received calls without cancels."""
        return [call for call in self.calls if not call.is_cancel]

    def start(self) -> None:
        """Start serving."""
        self._server.start()

    def stop(self) -> None:
        """Stop serving and end the open connections."""
        self._server.stop(timeout=0)

    def _handle(self, sock: socket, _: object) -> None:
        number = self._connections
        self._connections += 1
        try:
            rest = b""
            while True:
                call, rest = _read_call(sock, rest, number)
                if call is None:
                    return
                self.calls.append(call)
                if call.is_cancel:
                    sock.sendall(answer_bytes(call, b"{}"))
                elif not self.script(call, sock):
                    return
        except OSError:
            pass
        finally:
            sock.close()


def answer_bytes(
    call: ReceivedCall, body: bytes, *, status: str = "200 OK", headers: str = ""
) -> bytes:
    """Return a complete HTTP answer to a call, with its content length."""
    head = f"HTTP/1.1 {status}\r\nLoomyard-Attempt: {call.attempt}\r\n{headers}"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


def stream_head(call: ReceivedCall) -> bytes:
    """Return the head of an event stream that is delimited by the end of the connection."""
    extra_headers = "Content-Type: text/event-stream\r\nConnection: close\r\n"
    return f"HTTP/1.1 200 OK\r\n{extra_headers}Loomyard-Attempt: {call.attempt}\r\n\r\n".encode()


def _read_call(sock: socket, data: bytes, number: int) -> tuple[ReceivedCall | None, bytes]:
    while HEAD_END not in data:
        block = sock.recv(READ_SIZE)
        if not block:
            return None, b""
        data += block
    head, _, rest = data.partition(HEAD_END)
    line, *lines = head.decode("latin-1").split("\r\n")
    headers = {
        name.lower(): value.strip() for name, _, value in (field.partition(":") for field in lines)
    }
    length = int(headers.get("content-length", "0"))
    while len(rest) < length:
        rest += sock.recv(READ_SIZE)
    path = line.rpartition(" ")[0]
    call = ReceivedCall(connection=number, line=path, headers=headers, body=rest[:length])
    return call, rest[length:]
