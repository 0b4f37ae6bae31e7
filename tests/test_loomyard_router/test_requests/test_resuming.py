"""Tests of resuming streams at the same or another router, over HTTP."""

from __future__ import annotations

import json
import unittest

import gevent
from geventhttpclient import HTTPClient

from loomyard_router.requests.stream_token import StreamToken, StreamTokens
from loomyard_standins.fleet import sample_key, start_fleet

TOKENS = 30


class ResumeTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        cls.fleet = start_fleet(routers=2, engines=1)
        cls.addClassCleanup(cls.fleet.stop)

    def ask(self, router: int, method: str, path: str, body: bytes = b"", **headers: str):
        client = HTTPClient("127.0.0.1", self.fleet.routers[router].port, network_timeout=10.0)
        self.addCleanup(client.close)
        key = headers.pop("key", "kiosk")
        fields = {"Authorization": f"Bearer {sample_key(key)}"}
        fields |= {name.replace("_", "-"): value for name, value in headers.items()}
        return client.request(method, path, body, fields)

    def begin(self):
        body = {"model": "assistant", "prompt": "x", "max_tokens": TOKENS, "stream": True}
        return self.ask(0, "POST", "/v1/completions", json.dumps(body).encode())

    def resume(self, router: int, request_id: str, last: int, **headers: str):
        path = f"/v1/streams/{request_id}"
        return self.ask(router, "GET", path, Last_Event_ID=str(last), **headers)

    def test_any_router_sends_exactly_the_remaining_events(self) -> None:
        response = self.begin()
        whole = plain(response["loomyard-request-id"], bytes(response.read()))
        for router in (0, 1):
            for events in (1, 7, TOKENS - 1):
                with self.subTest(router=router, events=events):
                    response = self.begin()
                    request_id = response["loomyard-request-id"]
                    first = b"".join(response.readline(b"\n\n") for _ in range(events))
                    response._sock.close()
                    rest = bytes(self.resume(router, request_id, events - 1).read())
                    self.assertEqual(plain(request_id, first + rest), whole)
        response = self.resume(1, request_id, TOKENS)
        self.assertEqual(bytes(response.read()).count(b"\n\n"), 1)

    def test_other_accounts_and_forged_ids_are_refused(self) -> None:
        request_id = self.begin()["loomyard-request-id"]
        flipped = request_id[:-2] + ("A" if request_id[-2] != "A" else "B") + request_id[-1]
        forged = StreamTokens(("other secret",)).sign(
            StreamToken(
                request_id=request_id.partition("~")[0],
                account="kiosk",
                target="engine-0",
                number=1,
                router="router-0",
                usage_asked=True,
            )
        )
        cases = [(request_id, {"key": "labels"}), (flipped, {}), (forged, {})]
        cases += [(text, {}) for text in ("x", "~", "req-1~", "req-1~AAAA", "~" + "A" * 2000)]
        for text, headers in cases:
            with self.subTest(text=text, headers=headers):
                response = self.resume(1, text, 0, **headers)
                error = json.loads(response.read())["error"]
                self.assertEqual((response.status_code, error["code"]), (400, "1009"))
        response = self.ask(1, "GET", f"/v1/streams/{request_id}", Last_Event_ID="-1")
        self.assertEqual(response.status_code, 400)

    def test_a_stream_that_the_engine_forgot_is_gone(self) -> None:
        request_id = self.begin()["loomyard-request-id"]
        self.fleet.engines[0].streams.clear()
        response = self.resume(1, request_id, 3)
        details = json.loads(response.read())["error"]["loomyard"]
        self.assertEqual((response.status_code, details["code"]), (410, 3007))
        self.assertEqual((details["executed"], details["retry_safe"]), ("unknown", False))

    def test_work_is_cancelled_for_a_caller_that_does_not_resume(self) -> None:
        pending = self.fleet.routers[0].callers._stream_resumer.pending
        pending._seconds = 0.0
        self.addCleanup(setattr, pending, "_seconds", 5.0)
        response = self.begin()
        response.readline(b"\n\n")
        attempt = response["loomyard-request-id"].partition("~")[0] + ".1"
        response._sock.close()
        stream = self.fleet.engines[0].streams[attempt]
        while not stream.finished:
            gevent.sleep(0.001)
        self.assertTrue(stream.cancelled)


def plain(request_id: str, data: bytes) -> bytes:
    """Return a stream with the request id, which differs between requests, replaced."""
    return data.replace(request_id.partition("~")[0].encode(), b"ID")


if __name__ == "__main__":
    unittest.main()
