"""Target on loopback that answers by a script of the test, with the platform's headers."""

from __future__ import annotations

import socket
from collections.abc import Callable

import gevent
from attrs import define, field
from gevent.server import StreamServer

from loomyard_router.announced.announced_target import AnnouncedTarget

Script = Callable[["Received", socket.socket], bool | None]


@define(eq=False)
class Received:
    """A request as it arrived."""

    line: str
    headers: dict[str, str]
    body: bytes

    @property
    def attempt_id(self) -> str:
        return self.headers.get("loomyard-attempt-id", "")


@define(eq=False)
class ScriptedTarget:
    """Record requests and answer each by the script; a true result closes the connection."""

    id: str
    service: str
    script: Script
    received: list[Received] = field(factory=list)
    broken_off: int = 0
    connections: int = 0
    _server: StreamServer | None = None

    def start(self) -> None:
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()

    def stop(self) -> None:
        if self._server is not None:
            self._server.stop(timeout=0)

    def announced(self, **changes: object) -> AnnouncedTarget:
        port = self._server.server_port if self._server else 1
        fields = {"id": self.id, "service": self.service, "address": f"127.0.0.1:{port}"}
        return AnnouncedTarget(**fields | {"slots": 4} | changes)

    def _serve(self, sock: socket.socket, _: object) -> None:
        self.connections += 1
        data = b""
        try:
            while True:
                while b"\r\n\r\n" not in data:
                    block = sock.recv(65536)
                    if not block:
                        return
                    data += block
                head, _, data = data.partition(b"\r\n\r\n")
                request = parse_head(head)
                length = int(request.headers.get("content-length", 0))
                while len(data) < length:
                    data += sock.recv(65536)
                request.body, data = data[:length], data[length:]
                self.received.append(request)
                if self.script(request, sock):
                    return
        except OSError:
            self.broken_off += 1
        finally:
            sock.close()


def parse_head(head: bytes) -> Received:
    """Return a request of which only the head is known."""
    line, *lines = head.decode("latin-1").split("\r\n")
    pairs = (text.split(": ", 1) for text in lines)
    return Received(line, {name.lower(): value for name, value in pairs}, b"")


def answer(
    request: Received,
    body: bytes = b"whole",
    *,
    status: str = "200 OK",
    echo: str | None = None,
    extra: str = "",
) -> bytes:
    """Return a complete answer with the attempt id and the stamp of a target."""
    attempt = request.attempt_id if echo is None else echo
    return (
        f"HTTP/1.1 {status}\r\nLoomyard-Attempt-Id: {attempt}\r\n"
        f"Loomyard-Server-Stamp: stamp.{attempt}\r\n{extra}"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


def refusal(request: Received) -> bytes:
    """Return a 503 answer which states that the request did not run."""
    return (
        f"HTTP/1.1 503 Service Unavailable\r\nLoomyard-Attempt-Id: {request.attempt_id}\r\n"
        "Loomyard-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
    ).encode()


def stream_head(request: Received, stamp: str = "first") -> bytes:
    """Return the head of a chunked event stream."""
    return (
        f"HTTP/1.1 200 OK\r\nLoomyard-Attempt-Id: {request.attempt_id}\r\n"
        f"Loomyard-Server-Stamp: {stamp}\r\nContent-Type: text/event-stream\r\n"
        "Transfer-Encoding: chunked\r\n\r\n"
    ).encode()


def chunk(data: bytes) -> bytes:
    """Return a chunk of a body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def event(number: int) -> bytes:
    """Return an event of a stream."""
    return b"id: %d\ndata: piece-%d\n\n" % (number, number)


def plain_script(request: Received, sock: socket.socket) -> None:
    """Answer every request."""
    sock.sendall(answer(request))


def hang(_: Received, sock: socket.socket) -> None:
    """Send nothing until the router closes the connection."""
    while sock.recv(1024):
        gevent.sleep(0)
    raise OSError("the router closed the connection")
