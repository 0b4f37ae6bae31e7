"""The WSGI application that serves callers."""

from __future__ import annotations

import json
import logging
import secrets
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

from result import Err, Ok, Result

from loomyard.errors import Executed, Fault, ResultCode
from loomyard.events import Event, emit
from loomyard.objects import ServiceType
from loomyard_router.callers.handler import PRESENCE_KEY
from loomyard_router.callers.keys import authenticate
from loomyard_router.callers.problems import (
    JSON_TYPE,
    problem_document,
    problem_headers,
    status_line,
    status_of,
)
from loomyard_router.callers.request_reader import SERVICES_PREFIX, RequestReader
from loomyard_router.requests.answer import Answer
from loomyard_router.requests.caller_presence import CallerPresence

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from loomyard.clock import Clock
    from loomyard.objects import ClientAccount
    from loomyard_router.callers.fields import Environ
    from loomyard_router.configuration.follower import ConfigFollower
    from loomyard_router.metrics.request_metrics import RequestMetrics
    from loomyard_router.requests.request import Request
    from loomyard_router.requests.request_pipeline import RequestPipeline
    from loomyard_router.requests.stream_resumer import StreamResumer

    StartResponse = Callable[[str, list[tuple[str, str]]], Any]

logger = logging.getLogger(__name__)

NOT_READY_RETRY_AFTER = 1.0
MODEL_PATHS = ("/v1/completions", "/v1/chat/completions")
OPENAI_PREFIX = "/v1/"
STREAMS_PREFIX = "/v1/streams/"
LAST_EVENT_HEADER = "HTTP_LAST_EVENT_ID"
HEALTH_PATH = "/healthz"
READY_PATH = "/readyz"
# After these refusals the connection is closed: the request may not have been read to its end, or
# the router is stopping.
CODES_THAT_CLOSE = (ResultCode.MALFORMED_REQUEST, ResultCode.BODY_TOO_LARGE, ResultCode.STOPPING)
DROPPED_HEADERS = frozenset(
    [
        "connection",
        "content-length",
        "date",
        "keep-alive",
        "loomyard-attempt",
        "proxy-authenticate",
        "server",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    ]
)

_NOT_READY = Fault(
    code=ResultCode.NOT_READY,
    detail="this router has no configuration yet",
    retry_after=NOT_READY_RETRY_AFTER,
)


class CallersApp:
    """Serve health checks, the OpenAI interface under /v1 and plain services under /services."""

    def __init__(
        self,
        *,
        clock: Clock,
        follower: ConfigFollower,
        pipeline: RequestPipeline,
        stream_resumer: StreamResumer,
        meters: RequestMetrics,
    ) -> None:
        self._meters = meters
        self._stream_resumer = stream_resumer
        self._follower = follower
        self._pipeline = pipeline
        self._reader = RequestReader(clock, follower)

    @property
    def ready(self) -> bool:
        return self._follower.ready and not self._pipeline.stopping

    def __call__(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        path = environ["PATH_INFO"]
        if path in (HEALTH_PATH, READY_PATH):
            return self._answer_check(path, start_response)
        exchange = _Exchange(environ, start_response, self._meters)
        if not self._follower.ready:
            return exchange.refuse(_NOT_READY)
        account = authenticate(self._follower.routing, environ.get("HTTP_AUTHORIZATION", ""))
        if account is None:
            detail = "unknown or missing bearer key"
            return exchange.refuse(Fault(code=ResultCode.UNKNOWN_KEY, detail=detail))
        if path == "/v1/models":
            return exchange.answer(self._list_models(account))
        if path.startswith(STREAMS_PREFIX):
            return exchange.finish(self._resume(environ, account))
        match self._read(environ, exchange.request_id, account):
            case Err(fault):
                return exchange.refuse(fault)
            case Ok(request):
                exchange.idempotent = request.idempotent
                return exchange.finish(self._pipeline.serve(request))
        raise AssertionError("a result is a value or a fault")

    def _read(
        self, environ: Environ, request_id: str, account: ClientAccount
    ) -> Result[Request, Fault]:
        path = environ["PATH_INFO"]
        if path in MODEL_PATHS:
            return self._reader.read_model_request(environ, request_id, account)
        if path.startswith(SERVICES_PREFIX):
            return self._reader.read_plain_request(environ, request_id, account)
        return Err(Fault(code=ResultCode.UNKNOWN_PATH, detail=f"no such path: {path}"))

    def _resume(self, environ: Environ, account: ClientAccount) -> Result[Answer, Fault]:
        if environ["REQUEST_METHOD"] not in ("GET", "POST"):
            return Err(Fault(code=ResultCode.METHOD_NOT_ALLOWED, detail="use GET or POST"))
        return self._stream_resumer.resume(
            account,
            environ["PATH_INFO"][len(STREAMS_PREFIX) :],
            environ.get(LAST_EVENT_HEADER),
            environ.get(PRESENCE_KEY) or CallerPresence(),
            lambda: self._pipeline.stopping,
        )

    def _answer_check(self, path: str, start_response: StartResponse) -> Iterable[bytes]:
        passed = path == HEALTH_PATH or self.ready
        status = HTTPStatus.OK if passed else HTTPStatus.SERVICE_UNAVAILABLE
        start_response(status_line(status), [("Content-Type", "text/plain")])
        return [b"ok\n" if passed else b"not ready\n"]

    def _list_models(self, account: ClientAccount) -> Answer:
        routing = self._follower.routing
        models = [
            {"id": name, "object": "model", "created": 0, "owned_by": "loomyard"}
            for name, service in sorted(routing.services.items())
            if service.type is ServiceType.MODEL and routing.find_route(account, name)
        ]
        body = json.dumps({"object": "list", "data": models}).encode()
        return Answer(status=HTTPStatus.OK, headers=[("Content-Type", JSON_TYPE)], body=[body])


class _Exchange:
    """One request of a caller and the answer to it."""

    def __init__(
        self, environ: Environ, start_response: StartResponse, meters: RequestMetrics
    ) -> None:
        self._meters = meters
        self.request_id = f"req-{secrets.token_hex(8)}"
        self.idempotent = False
        self._openai = environ["PATH_INFO"].startswith(OPENAI_PREFIX)
        self._start_response = start_response

    def finish(self, outcome: Result[Answer, Fault]) -> Iterable[bytes]:
        """Send the answer, or refuse the request with the fault."""
        match outcome:
            case Ok(answer):
                self._meters.count(None)
                return self.answer(answer)
            case Err(fault):
                return self.refuse(fault)
        raise AssertionError("a result is a value or a fault")

    def answer(self, answer: Answer) -> Iterable[bytes]:
        """Forward an answer without ``DROPPED_HEADERS`` and with the request id."""
        headers = [(n, v) for n, v in answer.headers if n.lower() not in DROPPED_HEADERS]
        request_id = answer.request_id or self.request_id
        headers += [("Loomyard-Request-Id", request_id), ("X-Request-Id", request_id)]
        try:
            self._start_response(status_line(answer.status), headers)
        except Exception as error:
            if close := getattr(answer.body, "close", None):
                close()
            detail = f"the headers of the answer can't be forwarded: {error}"
            executed = Executed.YES
            fault = Fault(code=ResultCode.ANSWER_INVALID, detail=detail, executed=executed)
            return self.refuse(fault)
        return answer.body

    def refuse(self, fault: Fault) -> Iterable[bytes]:
        """Answer with the problem document of a fault, and count and log the refusal."""
        self._meters.count(fault.code)
        emit(logger, Event.REQUEST_REFUSED, request=self.request_id, code=int(fault.code))
        kind, body = problem_document(
            fault, self.request_id, openai=self._openai, idempotent=self.idempotent
        )
        headers = [("Content-Type", kind), *problem_headers(fault, self.request_id)]
        if fault.code in CODES_THAT_CLOSE:
            headers.append(("Connection", "close"))
        self._start_response(status_line(status_of(fault.code)), headers)
        return [body]
