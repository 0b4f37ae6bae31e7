"""Adapter for targets with the OpenAI HTTP interface or plain HTTP.

Beyond that interface, a target must

- return the ``Loomyard-Attempt`` header of a request with the answer;
- set ``Loomyard-Not-Run: 1`` on a refusal only if nothing of the request ran, and
  ``Loomyard-Leaving: 1`` if, besides, it takes no new requests;
- as an engine, number the events of a stream with ``id:`` lines from 0, retain the last streams for
  ``GET /streams/ATTEMPT?after=NUMBER``, and end a cancelled stream without ``[DONE]``.
"""

from __future__ import annotations

import json
import re
from typing import TYPE_CHECKING
from urllib.parse import urlsplit

from geventhttpclient.response import HTTPConnectionClosed
from result import Err, Ok, Result

from loomyard.codec import CODEC
from loomyard.errors import Executed, Fault, ResultCode
from loomyard.external.engine import CacheEvent, EngineOrder, LoadReport, TargetCall
from loomyard.util.answer_bounds import MAX_WHOLE_ANSWER_BYTES
from loomyard_router.targets.http_answer import ATTEMPT_HEADER, HttpAnswer, read_response
from loomyard_router.targets.http_connections import ConnectionPools

if TYPE_CHECKING:
    from geventhttpclient.connectionpool import ConnectionPool

    from loomyard.clock import Clock
    from loomyard.external.engine import TargetAnswer

CONTROL_TIMEOUT = 2.0
STALL_TIMEOUT = 30.0
MIN_TIMEOUT = 0.001
HTTP_OK = 200
HTTP_CONFLICT = 409
_HEAD = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+ /[^\x00-\x20\x7f]* HTTP/1\.1\r\n")


class HttpEngine:
    """Calls targets over HTTP; never retries a call by itself."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._connections = ConnectionPools()

    def open(self, call: TargetCall) -> Result[TargetAnswer, Fault]:
        return self._exchange(call, reuse=call.idempotent)

    def resume(self, call: TargetCall, after: int) -> Result[TargetAnswer, Fault]:
        path = f"/streams/{call.attempt_id}?after={after}"
        resuming = TargetCall(
            attempt_id=call.attempt_id,
            url=call.url,
            method="GET",
            path=path,
            deadline=call.deadline,
        )
        opened = self._exchange(resuming, reuse=True)
        if opened.is_err():
            return Err(opened.unwrap_err())
        answer = opened.unwrap()
        if answer.status == HTTP_OK:
            return Ok(answer)
        answer.close()
        detail = f"the engine no longer has the stream: status {answer.status}"
        return Err(Fault(code=ResultCode.STREAM_GONE, detail=detail, executed=Executed.UNKNOWN))

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

    def _exchange(self, call: TargetCall, *, reuse: bool) -> Result[HttpAnswer, Fault]:
        match _render(call):
            case Err(fault):
                return Err(fault)
            case Ok(data):
                pass
        pool = self._connections.pool(call.url, reuse=reuse)
        seconds = max(MIN_TIMEOUT, call.deadline - self._clock.now())
        try:
            sock = pool.get_socket()
        except Exception as error:
            return Err(_unreachable_fault(error))
        return _send(pool, sock, data, call.method, seconds)

    def _control(self, url: str, method: str, path: str) -> Result[bytes, Fault]:
        deadline = self._clock.now() + CONTROL_TIMEOUT
        call = TargetCall(attempt_id="", url=url, method=method, path=path, deadline=deadline)
        opened = self._exchange(call, reuse=True)
        if opened.is_err():
            return Err(opened.unwrap_err())
        answer = opened.unwrap()
        match _read_all(answer):
            case Err(fault):
                return Err(fault)
            case Ok(body):
                pass
        if answer.status == HTTP_CONFLICT:
            return Err(Fault(code=ResultCode.ORDER_FENCED, detail=body.decode(errors="replace")))
        if answer.status != HTTP_OK:
            detail = f"status {answer.status}"
            return Err(Fault(code=ResultCode.TARGET_REFUSED, detail=detail))
        return Ok(body)


def make_http_engine(clock: Clock) -> HttpEngine:
    """Create the adapter for HTTP targets."""
    return HttpEngine(clock)


def _render(call: TargetCall) -> Result[bytes, Fault]:
    parts = urlsplit(call.url)
    path = parts.path.rstrip("/") + call.path
    headers = [("Host", parts.netloc), *call.headers, ("Content-Length", str(len(call.body)))]
    if call.attempt_id:
        headers.append((ATTEMPT_HEADER, call.attempt_id))
    try:
        head = f"{call.method} {path} HTTP/1.1\r\n".encode("latin-1")
        lines = [f"{name}: {value}".encode("latin-1") for name, value in headers]
    except UnicodeEncodeError:
        return Err(Fault(code=ResultCode.MALFORMED_REQUEST, detail="a header is not Latin-1"))
    if not _HEAD.fullmatch(head) or any(b"\r" in line or b"\n" in line for line in lines):
        detail = "method, path or a header can't be sent over HTTP"
        return Err(Fault(code=ResultCode.MALFORMED_REQUEST, detail=detail))
    return Ok(head + b"\r\n".join(lines) + b"\r\n\r\n" + call.body)


def _send(
    pool: ConnectionPool, sock: object, data: bytes, method: str, seconds: float
) -> Result[HttpAnswer, Fault]:
    try:
        sock.settimeout(seconds)  # type: ignore[attr-defined]
        sock.sendall(data)  # type: ignore[attr-defined]
    except BaseException as error:
        pool.release_socket(sock)
        if not isinstance(error, Exception):
            raise
        return Err(_lost_fault(error))
    try:
        response = read_response(sock, pool, method)
    except Exception as error:
        return Err(_lost_fault(error))
    response.start_stall_timer(min(STALL_TIMEOUT, seconds))
    return Ok(HttpAnswer(response))


def _read_all(answer: HttpAnswer) -> Result[bytes, Fault]:
    blocks: list[bytes] = []
    size = 0
    while size <= MAX_WHOLE_ANSWER_BYTES:
        match answer.read():
            case Err(fault):
                return Err(fault)
            case Ok(b""):
                return Ok(b"".join(blocks))
            case Ok(block):
                blocks.append(block)
                size += len(block)
    answer.close()
    detail = f"the answer is over {MAX_WHOLE_ANSWER_BYTES} bytes"
    return Err(Fault(code=ResultCode.ANSWER_INVALID, detail=detail, executed=Executed.UNKNOWN))


def _parse(body: bytes, kind: type) -> Result:
    try:
        return Ok(CODEC.structure(json.loads(body), kind))
    except Exception as error:
        return Err(Fault(code=ResultCode.ANSWER_INVALID, detail=str(error)))


def _unreachable_fault(error: Exception) -> Fault:
    detail = f"no connection: {str(error) or type(error).__name__}"
    return Fault(code=ResultCode.TARGET_UNREACHABLE, detail=detail)


def _lost_fault(error: Exception) -> Fault:
    detail = f"no answer: {str(error) or type(error).__name__}"
    closed = isinstance(error, (OSError, HTTPConnectionClosed))
    code = ResultCode.ANSWER_LOST if closed else ResultCode.ANSWER_INVALID
    return Fault(code=code, detail=detail, executed=Executed.UNKNOWN)
