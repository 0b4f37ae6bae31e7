"""Caller of the relay benchmark: counts events of streams or probes time to first token."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import json  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402

import gevent  # noqa: E402
from gevent.socket import create_connection, socket  # noqa: E402
from hdrh.histogram import HdrHistogram  # noqa: E402

KEY = "key-kiosk"
READ_BYTES = 262144
MAX_MICROSECONDS = 60_000_000
EVENT_END = b"\n\n"
DONE = b"[DONE]"
STREAM_END = b"0\r\n\r\n"


class StreamCounts:
    """Events and bytes received by all streams of this process."""

    def __init__(self) -> None:
        self.events = 0
        self.bytes = 0


def main() -> int:
    """Run streams or probes for ``--seconds`` and print the results as JSON."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--address", required=True, nargs="+")
    parser.add_argument("--streams", type=int, default=1)
    parser.add_argument("--tokens", type=int, default=1000)
    parser.add_argument("--step", type=float, default=0.0)
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--probes", type=float, default=0.0, help="probes per second")
    options = parser.parse_args()
    print(json.dumps(_probe(options) if options.probes else _stream(options)), flush=True)
    return 0


def _stream(options: argparse.Namespace) -> dict[str, float]:
    counts = StreamCounts()
    started = time.monotonic()
    until = started + options.seconds
    tasks = [gevent.spawn(_read_streams, options, n, until, counts) for n in range(options.streams)]
    gevent.sleep(options.seconds)
    elapsed = time.monotonic() - started
    result = {"events": counts.events, "bytes": counts.bytes, "seconds": elapsed}
    gevent.killall(tasks)
    return result


def _read_streams(
    options: argparse.Namespace, number: int, until: float, counts: StreamCounts
) -> None:
    while time.monotonic() < until:
        sock = _open_stream(options, number, options.tokens)
        tail = b""
        while DONE not in tail:
            data = sock.recv(READ_BYTES)
            if not data:
                break
            counts.events += data.count(EVENT_END)
            counts.bytes += len(data)
            tail = data[-64:]
        sock.close()


def _probe(options: argparse.Namespace) -> dict[str, float]:
    histogram = HdrHistogram(1, MAX_MICROSECONDS, 3)
    until = time.monotonic() + options.seconds
    sockets = [_connect(options, number) for number in range(len(options.address))]
    request = _request(1, 0.0)
    number = 0
    while time.monotonic() < until:
        sock = sockets[number % len(sockets)]
        started = time.perf_counter()
        sock.sendall(request)
        data = b""
        while EVENT_END not in data:
            data += sock.recv(READ_BYTES)
        histogram.record_value(max(1, int(1e6 * (time.perf_counter() - started))))
        while not data.endswith(STREAM_END):
            data += sock.recv(READ_BYTES)
        number += 1
        gevent.sleep(1.0 / options.probes)
    p50, p99 = (histogram.get_value_at_percentile(p) / 1000.0 for p in (50.0, 99.0))
    return {"count": number, "p50_ms": p50, "p99_ms": p99}


def _open_stream(options: argparse.Namespace, number: int, tokens: int) -> socket:
    sock = _connect(options, number)
    sock.sendall(_request(tokens, options.step))
    return sock


def _connect(options: argparse.Namespace, number: int) -> socket:
    host, _, port = options.address[number % len(options.address)].rpartition(":")
    return create_connection((host, int(port)))


def _request(tokens: int, step: float) -> bytes:
    body = json.dumps(
        {
            "model": "assistant",
            "prompt": "hi",
            "max_tokens": tokens,
            "stream": True,
            "stream_options": {"include_usage": True},
            "step_seconds": step,
        }
    ).encode()
    head = (
        "POST /v1/completions HTTP/1.1\r\nHost: bench\r\nContent-Type: application/json\r\n"
        f"Authorization: Bearer {KEY}\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


if __name__ == "__main__":
    sys.exit(main())
