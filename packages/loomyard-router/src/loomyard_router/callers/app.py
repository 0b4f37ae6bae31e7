"""The WSGI application of callers."""

from __future__ import annotations

import json
import logging
import secrets
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

from result import Err, Ok, Result

from loomyard.errors import Fault, ResultCode
from loomyard.objects import ServiceType
from loomyard_router.callers.keys import authenticate
from loomyard_router.callers.problems import (
    JSON_TYPE,
    problem_document,
    problem_headers,
    status_of,
)
from loomyard_router.requests.answer import Answer
from loomyard_router.requests.request import Request

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from loomyard.clock import Clock
    from loomyard.objects import ClientAccount
    from loomyard_router.configuration.follower import ConfigFollower
    from loomyard_router.requests.serving import Serving

    StartResponse = Callable[[str, list[tuple[str, str]]], Any]
    Environ = dict[str, Any]

logger = logging.getLogger(__name__)

MAX_BODY = 8 * 1024 * 1024
DEFAULT_TIMEOUT = 300.0
NOT_READY_RETRY_AFTER = 1.0
MODEL_PATHS = ("/v1/completions", "/v1/chat/completions")
SERVICES_PREFIX = "/services/"
HOP_HEADERS = frozenset(
    ["connection", "keep-alive", "transfer-encoding", "content-length", "server", "date"]
)
DEADLINE_HEADER = "HTTP_LOOMYARD_DEADLINE"
COST_HEADER = "HTTP_LOOMYARD_COST_HINT"
IDEMPOTENT_HEADER = "HTTP_LOOMYARD_IDEMPOTENT"


class CallersApp:
    """Serve /v1 and /services."""

    def __init__(self, *, clock: Clock, follower: ConfigFollower, serving: Serving) -> None:
        self._clock = clock
        self._follower = follower
        self._serving = serving

    def __call__(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        request_id = f"req-{secrets.token_hex(8)}"
        openai = environ["PATH_INFO"].startswith("/v1/")
        match self._handle(environ, request_id):
            case Ok(answer):
                return _answer(start_response, answer, request_id)
            case Err(fault):
                return _refuse(start_response, fault, request_id, openai=openai)

    def _handle(self, environ: Environ, request_id: str) -> Result[Answer, Fault]:
        if not self._follower.ready:
            detail = "this router has no configuration yet"
            return Err(
                Fault(code=ResultCode.NOT_READY, detail=detail, retry_after=NOT_READY_RETRY_AFTER)
            )
        account = authenticate(self._follower.routing, environ.get("HTTP_AUTHORIZATION", ""))
        if account is None:
            return Err(Fault(code=ResultCode.UNKNOWN_KEY, detail="unknown or missing bearer key"))
        path = environ["PATH_INFO"]
        if path == "/v1/models":
            body = self._list_models(account)
            return Ok(
                Answer(status=HTTPStatus.OK, headers=[("Content-Type", JSON_TYPE)], body=body)
            )
        if path in MODEL_PATHS:
            return self._read_model_request(environ, request_id, account).and_then(
                self._serving.serve
            )
        if path.startswith(SERVICES_PREFIX):
            return self._read_plain_request(environ, request_id, account).and_then(
                self._serving.serve
            )
        return Err(Fault(code=ResultCode.UNKNOWN_PATH, detail=f"no such path: {path}"))

    def _list_models(self, account: ClientAccount) -> Any:
        routing = self._follower.routing
        models = [
            {"id": name, "object": "model", "created": 0, "owned_by": "loomyard"}
            for name, service in sorted(routing.services.items())
            if service.type is ServiceType.MODEL and routing.find_route(account, name)
        ]
        return iter([json.dumps({"object": "list", "data": models}).encode()])

    def _read_model_request(
        self, environ: Environ, request_id: str, account: ClientAccount
    ) -> Result[Request, Fault]:
        if environ["REQUEST_METHOD"] != "POST":
            return Err(Fault(code=ResultCode.METHOD_NOT_ALLOWED, detail="use POST"))
        match _read_body(environ):
            case Err(fault):
                return Err(fault)
            case Ok(body):
                pass
        try:
            document = json.loads(body)
            model, stream = document["model"], bool(document.get("stream", False))
        except (ValueError, TypeError, KeyError, AttributeError) as error:
            return Err(_malformed(f"not a completion request: {error}"))
        service = self._follower.routing.services.get(model)
        if service is None or service.type is not ServiceType.MODEL:
            return Err(Fault(code=ResultCode.UNKNOWN_SERVICE, detail=f"no model {model!r}"))
        if stream:
            options = document.get("stream_options") or {}
            document["stream_options"] = {**options, "include_usage": True}
            body = json.dumps(document).encode()
        return self._timed(environ).map(
            lambda deadline: Request(
                request_id=request_id,
                account=account,
                service=service,
                method="POST",
                path=environ["PATH_INFO"],
                headers=[("Content-Type", JSON_TYPE)],
                body=body,
                arrived_at=self._clock.now(),
                deadline=deadline,
                stream=stream,
                key=environ.get("HTTP_IDEMPOTENCY_KEY"),
                cost_hint=_cost_hint(environ),
            )
        )

    def _read_plain_request(
        self, environ: Environ, request_id: str, account: ClientAccount
    ) -> Result[Request, Fault]:
        name, _, rest = environ["PATH_INFO"][len(SERVICES_PREFIX) :].partition("/")
        service = self._follower.routing.services.get(name)
        if service is None or service.type is not ServiceType.PLAIN:
            return Err(Fault(code=ResultCode.UNKNOWN_SERVICE, detail=f"no service {name!r}"))
        match _read_body(environ):
            case Err(fault):
                return Err(fault)
            case Ok(body):
                pass
        path = f"/{rest}"
        query = environ.get("QUERY_STRING", "")
        method = environ["REQUEST_METHOD"]
        idempotent = environ.get(IDEMPOTENT_HEADER, "yes") != "no" and all(
            operation.idempotent
            for operation in service.operations
            if operation.method in ("*", method) and path.startswith(operation.path)
        )
        return self._timed(environ).map(
            lambda deadline: Request(
                request_id=request_id,
                account=account,
                service=service,
                method=method,
                path=f"{path}?{query}" if query else path,
                headers=[("Content-Type", environ.get("CONTENT_TYPE", JSON_TYPE))],
                body=body,
                arrived_at=self._clock.now(),
                deadline=deadline,
                idempotent=idempotent,
                key=environ.get("HTTP_IDEMPOTENCY_KEY"),
                cost_hint=_cost_hint(environ),
            )
        )

    def _timed(self, environ: Environ) -> Result[float, Fault]:
        text = environ.get(DEADLINE_HEADER)
        if text is None:
            return Ok(self._clock.now() + DEFAULT_TIMEOUT)
        try:
            left = float(text) - self._clock.wall()
        except ValueError:
            return Err(_malformed("the deadline is not in seconds since the Unix epoch"))
        if left <= 0:
            return Err(Fault(code=ResultCode.DEADLINE_PASSED, detail="the deadline has passed"))
        return Ok(self._clock.now() + left)


def _read_body(environ: Environ) -> Result[bytes, Fault]:
    length = int(environ.get("CONTENT_LENGTH") or 0)
    if length > MAX_BODY:
        detail = f"the body is longer than {MAX_BODY} bytes"
        return Err(Fault(code=ResultCode.BODY_TOO_LARGE, detail=detail))
    return Ok(environ["wsgi.input"].read(length) if length else b"")


def _cost_hint(environ: Environ) -> float | None:
    try:
        hint = float(environ[COST_HEADER])
    except (KeyError, ValueError):
        return None
    return hint if hint > 0 else None


def _malformed(detail: str) -> Fault:
    return Fault(code=ResultCode.MALFORMED_REQUEST, detail=detail)


def _answer(start_response: StartResponse, answer: Answer, request_id: str) -> Iterable[bytes]:
    headers = [(n, v) for n, v in answer.headers if n.lower() not in HOP_HEADERS]
    headers += [("Loomyard-Request-Id", request_id), ("X-Request-Id", request_id)]
    start_response(_status_line(answer.status), headers)
    return answer.body


def _refuse(
    start_response: StartResponse, fault: Fault, request_id: str, *, openai: bool
) -> Iterable[bytes]:
    content_type, body = problem_document(fault, request_id, openai=openai)
    headers = [("Content-Type", content_type), *problem_headers(fault, request_id)]
    start_response(_status_line(status_of(fault.code)), headers)
    return [body]


def _status_line(status: int) -> str:
    try:
        return f"{int(status)} {HTTPStatus(status).phrase}"
    except ValueError:
        return f"{status} Unknown"
