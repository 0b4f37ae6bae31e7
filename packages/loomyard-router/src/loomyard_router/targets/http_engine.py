"""Targets that speak the OpenAI HTTP interface, or plain HTTP."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from urllib.parse import urlsplit

from gevent import Timeout
from geventhttpclient import HTTPClient
from result import Err, Ok, Result

from loomyard.codec import CODEC
from loomyard.errors import Executed, Fault, ResultCode
from loomyard.platform.engine import CacheEvent, EngineOrder, LoadReport

if TYPE_CHECKING:
    from geventhttpclient.response import HTTPSocketPoolResponse

    from loomyard.clock import Clock
    from loomyard.platform.engine import TargetAnswer, TargetCall

ATTEMPT_HEADER = "Loomyard-Attempt"
CONNECT_TIMEOUT = 1.0
CONTROL_TIMEOUT = 2.0
ANSWER_TIMEOUT = 300.0
CONCURRENCY = 4096
BLOCK_SIZE = 65536
HTTP_OK = 200
HTTP_CONFLICT = 409


class HttpAnswer:
    """An answer over HTTP."""

    def __init__(self, response: HTTPSocketPoolResponse) -> None:
        self._response = response
        self._stream = str(response.get("content-type", "")).startswith("text/event-stream")

    @property
    def status(self) -> int:
        return self._response.status_code

    @property
    def headers(self) -> list[tuple[str, str]]:
        return [(str(name), str(value)) for name, value in self._response.items()]

    @property
    def attempt_id(self) -> str:
        return str(self._response.get(ATTEMPT_HEADER, ""))

    def read(self) -> Result[bytes, Fault]:
        try:
            if self._stream:
                return Ok(bytes(self._response.readline(b"\n\n")))
            return Ok(bytes(self._response.read(BLOCK_SIZE)))
        except Exception as error:
            return Err(
                Fault(
                    code=ResultCode.ANSWER_INCOMPLETE,
                    detail=str(error) or type(error).__name__,
                    executed=Executed.UNKNOWN,
                )
            )

    def close(self) -> None:
        self._response.release()


class HttpEngine:
    """Call targets over HTTP, with kept connections."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._clients: dict[tuple[str, int], HTTPClient] = {}

    def open(self, call: TargetCall) -> Result[TargetAnswer, Fault]:
        try:
            client = self._client(call.url)
            headers = [*call.headers, (ATTEMPT_HEADER, call.attempt_id)]
            path = urlsplit(call.url).path.rstrip("/") + call.path
            response = client.request(call.method, path, body=call.body, headers=dict(headers))
        except (ConnectionRefusedError, OSError) as error:
            return Err(_open_fault(error))
        except Exception as error:
            return Err(_lost(error))
        return Ok(HttpAnswer(response))

    def resume(self, call: TargetCall, after: int) -> Result[TargetAnswer, Fault]:
        try:
            path = f"/streams/{call.attempt_id}?after={after}"
            response = self._client(call.url).request("GET", path)
        except Exception as error:
            return Err(_lost(error))
        if response.status_code != HTTP_OK:
            response.read()
            detail = f"status {response.status_code}"
            return Err(Fault(code=ResultCode.STREAM_GONE, detail=detail, executed=Executed.UNKNOWN))
        return Ok(HttpAnswer(response))

    def cancel(self, url: str, attempt_id: str) -> Result[None, Fault]:
        return self._control(url, "POST", f"/streams/{attempt_id}/cancel").map(lambda _: None)

    def load(self, url: str) -> Result[LoadReport, Fault]:
        return self._control(url, "GET", "/load").and_then(lambda body: _parse(body, LoadReport))

    def cache_events(self, url: str, after: int) -> Result[list[CacheEvent], Fault]:
        path = f"/cache-events?after={after}"
        return self._control(url, "GET", path).and_then(lambda b: _parse(b, list[CacheEvent]))

    def order(self, url: str, order: EngineOrder) -> Result[None, Fault]:
        path = f"/orders/{order.action}/{order.subject}?fencing={order.fencing}"
        return self._control(url, "POST", path).map(lambda _: None)

    def _control(self, url: str, method: str, path: str) -> Result[bytes, Fault]:
        try:
            with Timeout(CONTROL_TIMEOUT):
                response = self._client(url).request(method, path)
                body = bytes(response.read())
        except ConnectionRefusedError as error:
            return Err(_open_fault(error))
        except (Exception, Timeout) as error:
            return Err(_lost(error))
        if response.status_code == HTTP_CONFLICT:
            return Err(Fault(code=ResultCode.ORDER_FENCED, detail=body.decode(errors="replace")))
        if response.status_code != HTTP_OK:
            detail = f"status {response.status_code}"
            return Err(Fault(code=ResultCode.TARGET_REFUSED, detail=detail))
        return Ok(body)

    def _client(self, url: str) -> HTTPClient:
        parts = urlsplit(url)
        address = (parts.hostname or "", parts.port or 80)
        if address not in self._clients:
            self._clients[address] = HTTPClient(
                *address,
                concurrency=CONCURRENCY,
                connection_timeout=CONNECT_TIMEOUT,
                network_timeout=ANSWER_TIMEOUT,
                block_size=BLOCK_SIZE,
            )
        return self._clients[address]


def make_http_engine(clock: Clock) -> HttpEngine:
    """Make the adapter for HTTP targets."""
    return HttpEngine(clock)


def _parse(body: bytes, kind: type) -> Result:
    try:
        return Ok(CODEC.structure(json.loads(body), kind))
    except Exception as error:
        return Err(Fault(code=ResultCode.ANSWER_INVALID, detail=str(error)))


def _open_fault(error: OSError) -> Fault:
    if isinstance(error, ConnectionRefusedError):
        return Fault(code=ResultCode.TARGET_UNREACHABLE, detail=str(error))
    return _lost(error)


def _lost(error: BaseException) -> Fault:
    detail = str(error) or type(error).__name__
    return Fault(code=ResultCode.ANSWER_LOST, detail=detail, executed=Executed.UNKNOWN)
