"""A target as a program whose answers go on without end, in a part that the request names."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import sys  # noqa: E402
from typing import TYPE_CHECKING  # noqa: E402

from gevent.server import StreamServer  # noqa: E402

from loomyard_standins.programs.soak_protocol import (  # noqa: E402
    ATTEMPT_ID_HEADER,
    NOT_EXECUTED_HEADER,
    STAMP_HEADER,
    emit,
)

if TYPE_CHECKING:
    import socket

BLOCK_BYTES = 65536
HEALTH_PATH = "/health"
_OK = "HTTP/1.1 200 OK\r\n"
_CHUNKED = "Transfer-Encoding: chunked\r\n\r\n"
_EVENTS = "Content-Type: text/event-stream\r\n"
_IDENTITY = "Content-Length: 5\r\n\r\nhello"
_REFUSED = f"HTTP/1.1 503 Service Unavailable\r\n{NOT_EXECUTED_HEADER}: 1\r\n"
_UNIT = b"x" * BLOCK_BYTES
_FIELDS = b"A: b\r\n" * 8192
_INTERIM = b"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n" * 2048
_TINY_CHUNKS = b"1\r\nx\r\n" * 8192

# By the name of a form: the bytes that begin an answer, where ``{}`` stands for the fields by which
# routers know a target, and what follows them again and again.
FORMS: dict[str, tuple[str, bytes]] = {
    "no-answer": ("", b"\x00\x01 junk" * 8192),
    "status-line": ("HTTP/1.1 200 ", _UNIT),
    "field-name": (_OK + "A", _UNIT),
    "field-value": (_OK + "{}A: ", _UNIT),
    "fields": (_OK + "{}", _FIELDS),
    "interim": ("", _INTERIM),
    "interim-head": ("HTTP/1.1 103 Early Hints\r\n", _FIELDS),
    "upgrade": ("HTTP/1.1 101 S\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n", _UNIT),
    "chunk-size": (_OK + "{}" + _CHUNKED, b"0" * BLOCK_BYTES),
    "chunk-extension": (_OK + "{}" + _CHUNKED + "5;", _UNIT),
    "trailers": (_OK + "{}" + _CHUNKED + "5\r\nhello\r\n0\r\n", _FIELDS),
    "trailer": (_OK + "{}" + _CHUNKED + "5\r\nhello\r\n0\r\nA: ", _UNIT),
    "past-length": (_OK + "{}" + _IDENTITY, _UNIT),
    "past-chunks": (_OK + "{}" + _CHUNKED + "5\r\nhello\r\n0\r\n\r\n", _UNIT),
    "body": (_OK + "{}\r\n", _UNIT),
    "chunks": (_OK + "{}" + _CHUNKED, b"10000\r\n" + _UNIT + b"\r\n"),
    "tiny-chunks": (_OK + "{}" + _CHUNKED, _TINY_CHUNKS),
    "failure": ("HTTP/1.1 500 Error\r\n{}\r\n", _UNIT),
    "refusal": (_REFUSED + "{}\r\n", _UNIT),
    "event": (_OK + "{}" + _EVENTS + "\r\nid: 1\ndata: ", _UNIT),
    "event-chunks": (
        _OK + "{}" + _EVENTS + _CHUNKED + "c\r\nid: 1\ndata: \r\n",
        b"10000\r\n" + _UNIT + b"\r\n",
    ),
    "comments": (_OK + "{}" + _EVENTS + "\r\n", b": wait\n" * 8192),
    "pings": (_OK + "{}" + _EVENTS + "\r\n", b": wait\n\n" * 8192),
    "events": (_OK + "{}" + _EVENTS + "\r\n", b"id: 1\ndata: x\n\n" * 4096),
    "event-fields": (_OK + "{}" + _EVENTS + _CHUNKED + "3\r\nid:\r\n5;", _UNIT),
    "health": ("", b""),
}


def serve(sock: socket.socket, _: object) -> None:
    """Answer each request in the form that the last segment of its path names."""
    data = b""
    try:
        while True:
            while b"\r\n\r\n" not in data:
                if not (block := sock.recv(BLOCK_BYTES)):
                    return
                data += block
            head, _, data = data.partition(b"\r\n\r\n")
            fields = _fields(head)
            data = _drop_body(sock, data, int(fields.get("content-length", 0)))
            path = head.split(b" ")[1].decode("latin-1")
            name = "field-value" if path == HEALTH_PATH else path.rpartition("/")[2]
            if name == "health":
                # Broken off, so that routers look whether this target is still there.
                return
            first, more = FORMS[name]
            attempt_id = fields.get(ATTEMPT_ID_HEADER.lower(), "")
            emit(began=name, attempt=attempt_id)
            own = f"{ATTEMPT_ID_HEADER}: {attempt_id}\r\n{STAMP_HEADER}: stamp.{attempt_id}\r\n"
            sock.sendall(first.replace("{}", own).encode())
            try:
                while True:
                    sock.sendall(more)
            finally:
                emit(closed=name, attempt=attempt_id)
    except OSError:
        return
    finally:
        sock.close()


def _fields(head: bytes) -> dict[str, str]:
    lines = head.decode("latin-1").split("\r\n")[1:]
    return {name.lower(): value for name, value in (line.split(": ", 1) for line in lines)}


def _drop_body(sock: socket.socket, data: bytes, length: int) -> bytes:
    while len(data) < length:
        if not (block := sock.recv(BLOCK_BYTES)):
            raise OSError("the router closed the connection")
        data += block
    return data[length:]


def main() -> int:
    """Serve at the host of the first argument until the process is killed."""
    server = StreamServer((sys.argv[1], 0), serve)
    server.start()
    emit(listening=server.server_port)
    server.serve_forever()
    return 0


if __name__ == "__main__":
    sys.exit(main())
