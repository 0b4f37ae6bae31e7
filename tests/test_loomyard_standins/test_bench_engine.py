"""Tests of the simulated engine and the caller of the benchmarks against each other."""

from __future__ import annotations

import json
import unittest
from typing import Any
from urllib.parse import urlsplit

import gevent
from gevent import socket

from loomyard_standins.benches.batch_engine import BatchEngine
from loomyard_standins.benches.caller import Caller, read_reply

SLOTS = 2
STEP_LIMIT = 200


class BenchEngineTest(unittest.TestCase):
    def setUp(self) -> None:
        self.engine = BatchEngine(host="127.0.0.1", model="assistant", slots=SLOTS, step_seconds=0)
        self.engine.start()
        self.addCleanup(self.engine.stop)
        self.port = urlsplit(self.engine.url).port

    def call(self, tokens: int, counts: list[int]) -> Any:
        caller = Caller(lambda: self.port, "key")
        document = {"model": "assistant", "prompt": "x" * 8, "max_tokens": tokens, "stream": True}
        body = json.dumps(document).encode()
        self.addCleanup(caller.close)
        return caller.call("/v1/completions", body, None, counts.append)

    def test_callers_see_each_token_once_and_the_batch_is_bounded(self) -> None:
        counts: list[list[int]] = [[] for _ in range(5)]
        calls = [gevent.spawn(self.call, 3 + n, seen) for n, seen in enumerate(counts)]
        for _ in range(STEP_LIMIT):
            gevent.sleep(0.001)
            self.engine.step()
            if all(call.ready() for call in calls):
                break
        self.assertTrue(all(call.get(timeout=1).complete for call in calls))
        self.assertEqual([sum(seen) for seen in counts], [3, 4, 5, 6, 7])
        busy = [count for _, count in self.engine.meter.changes]
        self.assertEqual((max(busy), busy[-1]), (SLOTS, 0))

    def test_tokens_are_counted_wherever_the_bytes_are_cut(self) -> None:
        events = b"id: 0\ndata: {}\n\n", b"id: 1\ndata: {}\n\n"
        end = b'id: 2\ndata: {"usage":{}}\n\n', b"id: 3\ndata: [DONE]\n\n"
        chunks = b"".join(b"%x\r\n%b\r\n" % (len(data), data) for data in (*events, *end))
        head = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        answer = head + b"Transfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n"
        for cut in range(1, len(answer)):
            seen: list[int] = []
            reader, writer = socket.socketpair()
            with reader, writer:
                reading = gevent.spawn(read_reply, reader, seen.append)
                writer.sendall(answer[:cut])
                gevent.sleep(0)
                writer.sendall(answer[cut:])
                reply = reading.get(timeout=1)
            self.assertEqual((reply.status, reply.complete, sum(seen)), (200, True, 2), cut)


if __name__ == "__main__":
    unittest.main()
