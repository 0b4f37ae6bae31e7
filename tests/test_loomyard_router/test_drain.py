"""Tests over HTTP of graceful shutdown, callers that read slowly and callers that disconnect."""

from __future__ import annotations

import json
import unittest

import gevent
from gevent.socket import create_connection
from geventhttpclient import HTTPClient

from loomyard_standins.fleet import sample_key, start_fleet

HEADERS = {"Authorization": f"Bearer {sample_key('kiosk')}"}


class DrainTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = start_fleet(routers=2, engines=1)
        self.addCleanup(self.fleet.stop)
        self.router = self.fleet.routers[0]

    def client(self) -> HTTPClient:
        client = HTTPClient("127.0.0.1", self.router.port, network_timeout=10.0)
        self.addCleanup(client.close)
        return client

    def begin(self, tokens: int, prompt: str = "x"):
        body = {"model": "assistant", "prompt": prompt, "max_tokens": tokens, "stream": True}
        return self.client().post("/v1/completions", json.dumps(body), HEADERS)

    def test_two_graceful_shutdowns_finish_running_requests_and_refuse_new_ones(self) -> None:
        running = self.begin(60)
        first = running.readline(b"\n\n")
        self.assertEqual(self.client().get("/readyz").status_code, 200)
        stops = [gevent.spawn(self.router.drain) for _ in range(2)]
        gevent.sleep(0)
        self.assertEqual(self.client().get("/readyz").status_code, 503)
        self.assertEqual(self.client().get("/healthz").status_code, 200)
        refused = self.begin(1)
        details = json.loads(refused.read())["error"]["loomyard"]
        self.assertEqual((refused.status_code, details["code"]), (503, 2004))
        self.assertEqual(details["executed"], "no")
        self.assertIn("retry-after", refused)
        whole = first + bytes(running.read())
        self.assertEqual(whole.count(b"\n\n"), 61)
        self.assertTrue(whole.endswith(b"[DONE]\n\n"))
        gevent.joinall(stops, raise_error=True)
        with self.assertRaises(OSError):
            create_connection(("127.0.0.1", self.router.port))

    def test_a_slow_reader_blocks_neither_the_engine_nor_other_callers(self) -> None:
        self.fleet.engines[0].step_seconds = 0.0
        slow = self.begin(60_000)
        slow.readline(b"\n\n")
        stream = next(iter(self.fleet.engines[0].streams.values()))
        while not stream.finished:
            gevent.sleep(0.01)
        self.assertEqual(bytes(self.begin(3).read()).count(b"\n\n"), 4)
        self.assertEqual(len(self.router._in_flight), 1)
        whole = bytes(slow.read())
        self.assertEqual(whole.count(b"\n\n"), 60_000)
        self.assertTrue(whole.endswith(b"[DONE]\n\n"))

    def test_the_request_of_a_caller_that_disconnects_is_cancelled(self) -> None:
        engine = self.fleet.engines[0]
        engine.step_seconds = 0.005
        body = json.dumps({"model": "assistant", "prompt": "x", "max_tokens": 100_000}).encode()
        head = f"POST /v1/completions HTTP/1.1\r\nAuthorization: {HEADERS['Authorization']}\r\n"
        sock = create_connection(("127.0.0.1", self.router.port))
        sock.sendall(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
        while not engine.streams:
            gevent.sleep(0.001)
        sock.close()
        stream = next(iter(engine.streams.values()))
        while not (stream.cancelled and len(self.router._in_flight) == 0):
            gevent.sleep(0.001)
        self.assertLess(stream.generated, stream.tokens)


if __name__ == "__main__":
    unittest.main()
