"""Read callers' requests to models and plain services."""

from __future__ import annotations

import json
import posixpath
from typing import TYPE_CHECKING, Any

from attrs import frozen
from result import Err, Ok, Result

from loomyard.errors import Fault, ResultCode
from loomyard.objects import ServiceType
from loomyard.prompt_prefixes import prompt_prefix_digest
from loomyard_router.callers.fields import (
    DEADLINE_HEADER,
    malformed,
    read_body,
    read_cost_hint,
    read_deadline,
    read_document,
    read_idempotent,
    read_key,
)
from loomyard_router.callers.handler import PRESENCE_KEY, TARGET_KEY
from loomyard_router.callers.problems import JSON_TYPE
from loomyard_router.requests.caller_presence import CallerPresence
from loomyard_router.requests.request import Request

if TYPE_CHECKING:
    from loomyard.clock import Clock
    from loomyard.objects import ClientAccount, Service
    from loomyard_router.callers.fields import Environ
    from loomyard_router.configuration.follower import ConfigFollower

SERVICES_PREFIX = "/services/"
FORWARDED_HEADERS = (
    "ACCEPT",
    "ACCEPT_LANGUAGE",
    "IF_MATCH",
    "IF_NONE_MATCH",
    "IF_MODIFIED_SINCE",
    "IDEMPOTENCY_KEY",
    "RANGE",
    "TRACEPARENT",
    "TRACESTATE",
)


@frozen(kw_only=True)
class CommonFields:
    """Values of the optional headers that every request may carry.

    ``deadline`` is on the monotonic clock, ``cost_hint`` in units of the service.
    """

    deadline: float
    cost_hint: float | None
    idempotent: bool
    key: str | None


class RequestReader:
    """Read requests and validate them against the current configuration."""

    def __init__(self, clock: Clock, follower: ConfigFollower) -> None:
        self._clock = clock
        self._follower = follower

    def read_model_request(
        self, environ: Environ, request_id: str, account: ClientAccount
    ) -> Result[Request, Fault]:
        """Read a request to a model.

        Errors: ``METHOD_NOT_ALLOWED``, ``BODY_TOO_LARGE``, ``MALFORMED_REQUEST``,
        ``UNKNOWN_SERVICE``, ``DEADLINE_PASSED``.
        """
        if environ["REQUEST_METHOD"] != "POST":
            return Err(Fault(code=ResultCode.METHOD_NOT_ALLOWED, detail="use POST"))
        common = self._read_common(environ)
        if common.is_err():
            return Err(common.unwrap_err())
        body = read_body(environ)
        document = body.and_then(read_document).and_then(_check_document)
        if document.is_err():
            return Err(document.unwrap_err())
        service = self._find_service(document.unwrap()["model"], ServiceType.MODEL)
        if service.is_err():
            return Err(service.unwrap_err())
        request = self._make_request(
            environ, request_id, account, service.unwrap(), common.unwrap()
        )
        request.headers = [("Content-Type", JSON_TYPE), *_forwarded(environ)]
        request.path = environ["PATH_INFO"]
        request.body = body.unwrap()
        _fill_model_fields(request, document.unwrap())
        return Ok(request)

    def read_plain_request(
        self, environ: Environ, request_id: str, account: ClientAccount
    ) -> Result[Request, Fault]:
        """Read a request to a plain service.

        Errors: ``BODY_TOO_LARGE``, ``MALFORMED_REQUEST``, ``UNKNOWN_SERVICE``,
        ``DEADLINE_PASSED``.
        """
        name, _, rest = environ["PATH_INFO"][len(SERVICES_PREFIX) :].partition("/")
        service = self._find_service(name, ServiceType.PLAIN)
        if service.is_err():
            return Err(service.unwrap_err())
        common = self._read_common(environ)
        if common.is_err():
            return Err(common.unwrap_err())
        body = read_body(environ)
        if body.is_err():
            return Err(body.unwrap_err())
        request = self._make_request(
            environ, request_id, account, service.unwrap(), common.unwrap()
        )
        kind = [("Content-Type", environ["CONTENT_TYPE"])] if "CONTENT_TYPE" in environ else []
        request.headers = [*kind, *_forwarded(environ)]
        request.path = _target_path(environ)
        request.body = body.unwrap()
        request.idempotent &= _is_idempotent(service.unwrap(), request.method, f"/{rest}")
        return Ok(request)

    def _read_common(self, environ: Environ) -> Result[CommonFields, Fault]:
        deadline = read_deadline(environ, self._clock)
        hint = read_cost_hint(environ)
        idempotent = read_idempotent(environ)
        key = read_key(environ)
        for field in (deadline, hint, idempotent, key):
            if field.is_err():
                return Err(field.unwrap_err())
        return Ok(
            CommonFields(
                deadline=deadline.unwrap(),
                cost_hint=hint.unwrap(),
                idempotent=idempotent.unwrap(),
                key=key.unwrap(),
            )
        )

    def _find_service(self, name: str, kind: ServiceType) -> Result[Service, Fault]:
        service = self._follower.routing.services.get(name)
        if service is None or service.type is not kind:
            detail = f"no {kind.value} service {name!r}"
            return Err(Fault(code=ResultCode.UNKNOWN_SERVICE, detail=detail))
        return Ok(service)

    def _make_request(
        self,
        environ: Environ,
        request_id: str,
        account: ClientAccount,
        service: Service,
        common: CommonFields,
    ) -> Request:
        return Request(
            request_id=request_id,
            account=account,
            service=service,
            method=environ["REQUEST_METHOD"],
            path="/",
            arrived_at=self._clock.now(),
            deadline=common.deadline,
            has_caller_deadline=DEADLINE_HEADER in environ,
            idempotent=common.idempotent,
            key=common.key,
            cost_hint=common.cost_hint,
            presence=environ.get(PRESENCE_KEY) or CallerPresence(),
        )


def _check_document(document: dict[str, Any]) -> Result[dict[str, Any], Fault]:
    if not isinstance(document.get("model"), str):
        return Err(malformed("'model' is not a string"))
    if not isinstance(document.get("stream"), (bool, type(None))):
        return Err(malformed("'stream' is neither true nor false"))
    if not isinstance(document.get("stream_options"), (dict, type(None))):
        return Err(malformed("'stream_options' is not an object"))
    return Ok(document)


def _fill_model_fields(request: Request, document: dict[str, Any]) -> None:
    request.prefix = prompt_prefix_digest(document)
    request.stream = bool(document.get("stream"))
    if not request.stream:
        return
    options = document.get("stream_options") or {}
    request.usage_requested = options.get("include_usage") is True
    if not request.usage_requested:
        document["stream_options"] = {**options, "include_usage": True}
        request.body = json.dumps(document).encode()


def _is_idempotent(service: Service, method: str, path: str) -> bool:
    normalized = posixpath.normpath(path).replace("//", "/", 1)
    return all(
        operation.idempotent
        for operation in service.operations
        if operation.method in ("*", method) and normalized.startswith(operation.path)
    )


def _target_path(environ: Environ) -> str:
    """Return path and query with the caller's own encoding, without the service's name."""
    raw = environ.get(TARGET_KEY) or environ["PATH_INFO"]
    path, separator, query = raw.partition("?")
    rest = path[len(SERVICES_PREFIX) :].partition("/")[2]
    return f"/{rest}{separator}{query}"


def _forwarded(environ: Environ) -> list[tuple[str, str]]:
    names = [name for name in FORWARDED_HEADERS if f"HTTP_{name}" in environ]
    return [(name.replace("_", "-").title(), environ[f"HTTP_{name}"]) for name in names]
