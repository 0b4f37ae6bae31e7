"""Tests of malformed input: each gets its numbered error, and later requests still succeed."""

from __future__ import annotations

import json
import unittest

from gevent.socket import SHUT_WR, create_connection

from loomyard_router.callers.fields import MAX_BODY
from loomyard_standins.fleet import sample_key, start_fleet

AUTHORIZATION = f"Authorization: Bearer {sample_key('kiosk')}\r\n"
GOOD = {"model": "assistant", "prompt": "x", "max_tokens": 1}


class BadInputTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        cls.fleet = start_fleet(routers=1, engines=1)
        cls.addClassCleanup(cls.fleet.stop)

    def send(self, data: bytes, *, end: bool = True) -> tuple[int, dict]:
        with create_connection(("127.0.0.1", self.fleet.routers[0].port)) as sock:
            sock.settimeout(10.0)
            try:
                sock.sendall(data)
                if end:
                    sock.shutdown(SHUT_WR)
            except OSError:
                pass
            answer = b""
            while block := sock.recv(65536):
                answer += block
        head, _, body = answer.partition(b"\r\n\r\n")
        return int(head.split()[1]), json.loads(body)

    def post(self, body: object, headers: str = "", path: str = "/v1/completions") -> int:
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        _, error = self.send(
            f"POST {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n{AUTHORIZATION}{headers}"
            f"Content-Length: {len(data)}\r\n\r\n".encode() + data,
            end=False,
        )
        details = error["error"]["loomyard"] if "error" in error else error
        if "code" not in details:
            return 0
        self.assertEqual((details["executed"], details["retry_safe"]), ("no", True))
        return int(details["code"])

    def test_malformed_heads(self) -> None:
        line = b"POST /v1/completions HTTP/1.1\r\n"
        heads = [
            b"no http at all\r\n\r\n",
            line + b"Content-Length: -1\r\n\r\n",
            line + b"Content-Length: 1_0\r\n\r\n",
            line + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
            line + b"Transfer-Encoding: gzip\r\n\r\n",
            line + b"".join(b"X-%d: y\r\n" % number for number in range(200)) + b"\r\n",
            line + b"X: " + b"y" * 100_000 + b"\r\n\r\n",
        ]
        for head in heads:
            with self.subTest(head=head[:60]):
                status, problem = self.send(head)
                self.assertEqual((status, problem["code"]), (400, 1001))

    def test_malformed_bodies(self) -> None:
        malformed = [
            b"",
            b"{",
            b"[]",
            b"\xff",
            b'{"model": NaN}',
            b"[" * 100_000,
            {"model": 7},
            {"model": ["assistant"]},
            GOOD | {"stream": "yes"},
            GOOD | {"stream": True, "stream_options": 1},
        ]
        for body in malformed:
            with self.subTest(body=str(body)[:40]):
                self.assertEqual(self.post(body), 1001)
        self.assertEqual(self.post(GOOD | {"model": "none"}), 1004)
        self.assertEqual(self.post(b" " * (MAX_BODY + 1)), 1002)
        chunk = b"%x\r\n" % (MAX_BODY + 1) + b" " * (MAX_BODY + 1) + b"\r\n0\r\n\r\n"
        head = f"POST /v1/completions HTTP/1.1\r\n{AUTHORIZATION}Transfer-Encoding: chunked\r\n\r\n"
        self.assertEqual(self.send(head.encode() + chunk)[1]["error"]["code"], "1002")
        self.assertEqual(self.send(head.encode() + b"zz\r\n")[1]["error"]["code"], "1001")
        self.assertEqual(self.send(head.encode() + b"5\r\nab")[1]["error"]["code"], "1001")

    def test_header_fields(self) -> None:
        cases = {
            "Loomyard-Deadline: nan": 1001,
            "Loomyard-Deadline: inf": 1001,
            "Loomyard-Deadline: tomorrow": 1001,
            "Loomyard-Deadline: 2026-12-02T10:00:00": 1001,
            "Loomyard-Deadline: 1": 1006,
            "Loomyard-Deadline: 2001-01-01T00:00:00Z": 1006,
            "Loomyard-Deadline: 2999-01-01T00:00:00+01:00": 0,
            "Loomyard-Cost-Hint: -1": 1001,
            "Loomyard-Cost-Hint: nan": 1001,
            "Loomyard-Cost-Hint: 1e400": 1001,
            "Loomyard-Cost-Hint: 12.5": 0,
            "Loomyard-Idempotent: perhaps": 1001,
            "Idempotency-Key: ": 1001,
            'Idempotency-Key: "open': 1001,
            "Idempotency-Key: " + "k" * 300: 1001,
            'Idempotency-Key: "8e03978e-40d5-43e8-bc93-6894a57f9324"': 0,
        }
        for header, code in cases.items():
            with self.subTest(header=header[:60]):
                self.assertEqual(self.post(GOOD, header + "\r\n"), code)

    def test_unknown_paths(self) -> None:
        self.assertEqual(self.post(GOOD, path="/v1/none"), 1007)
        self.assertEqual(self.post(GOOD, path="/services/none/x"), 1004)
        self.assertEqual(self.post(GOOD), 0)


if __name__ == "__main__":
    unittest.main()
