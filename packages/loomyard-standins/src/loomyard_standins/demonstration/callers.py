"""Closed-loop callers: each sends its next request when it has the answer to the last."""

from __future__ import annotations

import json
import time
from typing import TYPE_CHECKING
from urllib.parse import urlsplit

from loomyard.util.tcp import make_http_client

if TYPE_CHECKING:
    from loomyard_standins.demonstration.tally import Tally

TOKENS = 40
PROMPT = "Swap receipt for rider 17: "
HTTP_OK = 200
ANSWER_TIMEOUT = 60.0
# The usage event and the end of the stream.
NON_TOKEN_EVENTS = 2


class Caller:
    """One caller of a client account, connected to one router."""

    def __init__(self, url: str, key: str, tally: Tally) -> None:
        address = urlsplit(url)
        self._client = make_http_client(
            address.hostname, address.port, network_timeout=ANSWER_TIMEOUT
        )
        self._headers = {"Authorization": f"Bearer {key}"}
        self._tally = tally

    def ask(self, until: float, *, stream: bool) -> None:
        """Request completions until a monotonic time."""
        body = {"model": "assistant", "prompt": PROMPT, "max_tokens": TOKENS, "stream": stream}
        if stream:
            body["stream_options"] = {"include_usage": True}
        while time.monotonic() < until:
            answer = self._post("/v1/completions", body)
            if answer is not None:
                self._tally.tokens += _count_tokens(answer, stream=stream)

    def write_receipts(self, until: float) -> None:
        """Write receipts, each with an idempotency key of its own, until a monotonic time."""
        number = 0
        while time.monotonic() < until:
            number += 1
            key = f'"{id(self)}-{number}"'
            self._post("/services/records/receipts", {"n": number}, {"Idempotency-Key": key})

    def _post(
        self, path: str, body: dict[str, object], headers: dict[str, str] | None = None
    ) -> bytes | None:
        started = time.monotonic()
        all_headers = self._headers | (headers or {})
        response = self._client.post(path, json.dumps(body), all_headers)
        answer = bytes(response.read())
        if response.status_code != HTTP_OK:
            self._tally.refusals += 1
            return None
        self._tally.record(time.monotonic() - started)
        return answer


def _count_tokens(answer: bytes, *, stream: bool) -> int:
    if stream:
        return answer.count(b"\n\n") - NON_TOKEN_EVENTS
    return json.loads(answer)["usage"]["completion_tokens"]
