"""Engine of the relay benchmark: sends constant events, one per write."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import json  # noqa: E402
import sys  # noqa: E402

import gevent  # noqa: E402
from gevent.server import StreamServer  # noqa: E402
from gevent.socket import IPPROTO_TCP, TCP_NODELAY, socket  # noqa: E402

HEAD_END = b"\r\n\r\n"
READ_BYTES = 65536
CHUNK = (
    '{"id": "bench", "object": "text_completion", "created": 0, "model": "assistant",'
    ' "choices": [{"index": 0, "finish_reason": null, "logprobs": null, "text": " token"}]}'
)
USAGE = '{"choices": [], "usage": {"prompt_tokens": 1, "completion_tokens": %d}}'
YIELD_INTERVAL_EVENTS = 64


def main() -> int:
    """Print the port and serve until the process is killed."""
    server = StreamServer(("127.0.0.1", 0), _handle)
    server.start()
    print(server.server_port, flush=True)
    server.serve_forever()
    return 0


def _handle(sock: socket, _: object) -> None:
    sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
    rest = b""
    try:
        while True:
            head, body, rest = _read(sock, rest)
            if not head:
                return
            if body:
                _stream(sock, head, json.loads(body))
            else:
                sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
    except OSError:
        return


def _stream(sock: socket, head: bytes, document: dict) -> None:
    attempt = _header(head, b"loomyard-attempt").decode()
    sock.sendall(
        b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
        + f"Loomyard-Attempt: {attempt}\r\n\r\n".encode()
    )
    tokens, step = int(document["max_tokens"]), float(document.get("step_seconds", 0.0))
    for number in range(tokens):
        sock.sendall(_event(number, CHUNK))
        if step:
            gevent.sleep(step)
        elif number % YIELD_INTERVAL_EVENTS == 0:
            gevent.sleep(0)
    sock.sendall(_event(tokens, USAGE % tokens) + _event(tokens + 1, "[DONE]") + b"0\r\n\r\n")


def _event(number: int, data: str) -> bytes:
    event = f"id: {number}\ndata: {data}\n\n".encode()
    return b"%x\r\n%s\r\n" % (len(event), event)


def _read(sock: socket, data: bytes) -> tuple[bytes, bytes, bytes]:
    while HEAD_END not in data:
        block = sock.recv(READ_BYTES)
        if not block:
            return b"", b"", b""
        data += block
    head, _, rest = data.partition(HEAD_END)
    length = int(_header(head, b"content-length") or 0)
    while len(rest) < length:
        rest += sock.recv(READ_BYTES)
    return head, rest[:length], rest[length:]


def _header(head: bytes, name: bytes) -> bytes:
    for line in head.split(b"\r\n")[1:]:
        key, _, value = line.partition(b":")
        if key.lower() == name:
            return value.strip()
    return b""


if __name__ == "__main__":
    sys.exit(main())
