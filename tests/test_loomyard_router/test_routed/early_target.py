"""Target on loopback that answers once it has the head of a request, before the body."""

from __future__ import annotations

import socket
import struct
from collections.abc import Callable

from attrs import define
from gevent.server import StreamServer

from loomyard_router.announced.announced_target import AnnouncedTarget
from test_loomyard_router.test_routed.scripted_target import Received, parse_head

EarlyScript = Callable[[Received, socket.socket], None]

# Less than an upload, so that the router is still writing when the answer comes.
RECEIVE_BUFFER_BYTES = 4096
RESET = struct.pack("ii", 1, 0)


@define(eq=False)
class EarlyTarget:
    """Call the script with the head and what has arrived of the body; then close."""

    id: str
    service: str
    script: EarlyScript
    _server: StreamServer | None = None

    @property
    def port(self) -> int:
        assert self._server is not None
        return int(self._server.server_port)

    def start(self, host: str = "127.0.0.1") -> None:
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        listener.bind((host, 0))
        listener.listen()
        self._server = StreamServer(listener, self._serve)
        self._server.start()

    def stop(self) -> None:
        if self._server is not None:
            self._server.stop(timeout=0)

    def announced(self) -> AnnouncedTarget:
        address = f"127.0.0.1:{self.port}"
        return AnnouncedTarget(id=self.id, service=self.service, address=address, slots=4)

    def _serve(self, sock: socket.socket, _: object) -> None:
        data = b""
        try:
            while b"\r\n\r\n" not in data:
                block = sock.recv(1024)
                if not block:
                    return
                data += block
            head, _, body = data.partition(b"\r\n\r\n")
            request = parse_head(head)
            request.body = body
            self.script(request, sock)
        except OSError:
            return
        finally:
            sock.close()


def answer_head(request: Received, *, status: str = "200 OK", fields: str = "") -> bytes:
    """Return the head of an answer, which has neither a length nor chunks unless in ``fields``."""
    return (
        f"HTTP/1.1 {status}\r\nLoomyard-Attempt-Id: {request.attempt_id}\r\n"
        f"Loomyard-Server-Stamp: stamp\r\n{fields}\r\n"
    ).encode()


def read_body(request: Received, sock: socket.socket) -> None:
    """Read the rest of the body."""
    left = int(request.headers["content-length"]) - len(request.body)
    while left > 0:
        block = sock.recv(min(left, 65536))
        if not block:
            raise OSError("the router closed the connection")
        left -= len(block)


def reset(sock: socket.socket) -> None:
    """Close a connection by a reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    sock.close()
