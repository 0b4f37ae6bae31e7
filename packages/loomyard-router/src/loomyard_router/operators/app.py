"""The WSGI application of operators."""

from __future__ import annotations

import json
import logging
import secrets
from collections.abc import Iterator
from http import HTTPStatus
from typing import TYPE_CHECKING, Any, TypeVar
from urllib.parse import parse_qs

from cattrs import BaseValidationError, transform_error
from result import Err, Ok, Result

from loomyard.codec import CODEC, DOCUMENT_CODEC
from loomyard.configuration import Verdict
from loomyard.errors import Fault, ResultCode
from loomyard.events import Event, emit
from loomyard_router.callers.problems import (
    JSON_TYPE,
    problem_document,
    problem_headers,
    status_of,
)
from loomyard_router.operators.documents import (
    ChangeRequest,
    FleetReport,
    RestoreRequest,
    TargetReport,
)
from loomyard_router.operators.object_listing import list_objects

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from loomyard_router.configuration.follower import ConfigFollower
    from loomyard_router.operators.changes import ChangePublisher
    from loomyard_router.operators.explanations import Explanations
    from loomyard_router.operators.fleet_status import FleetStatus
    from loomyard_router.operators.keys import OperatorKeys
    from loomyard_router.operators.restores import Restores
    from loomyard_router.operators.router_drains import RouterDrains
    from loomyard_router.targets.directory import TargetDirectory

    Environ = dict[str, Any]
    StartResponse = Callable[[str, list[tuple[str, str]]], Any]

T = TypeVar("T")

logger = logging.getLogger(__name__)

PREFIX = "/operators/v1/"
MAX_BODY = 2 * 1024 * 1024
MAX_RESTORE_BODY = 64 * 1024 * 1024
AUTHOR_HEADER = "HTTP_LOOMYARD_AUTHOR"

_VERDICT_STATUS = {
    Verdict.ACCEPTED.value: HTTPStatus.OK,
    Verdict.STALE.value: HTTPStatus.CONFLICT,
}


class OperatorsApp:
    """Serve /operators/v1."""

    def __init__(
        self,
        *,
        keys: OperatorKeys,
        follower: ConfigFollower,
        changes: ChangePublisher,
        status: FleetStatus,
        explanations: Explanations,
        drains: RouterDrains,
        restores: Restores,
        targets: TargetDirectory,
    ) -> None:
        self._keys = keys
        self._follower = follower
        self._changes = changes
        self._status = status
        self._explanations = explanations
        self._drains = drains
        self._restores = restores
        self._targets = targets

    def __call__(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        request_id = f"op-{secrets.token_hex(8)}"
        match self._handle(environ):
            case Ok((status, document)):
                body = _encode(document)
                headers = [("Content-Type", JSON_TYPE), ("Loomyard-Request-Id", request_id)]
            case Err(fault):
                status = status_of(fault.code)
                content_type, problem = problem_document(fault, request_id, openai=False)
                body = [problem]
                headers = [("Content-Type", content_type), *problem_headers(fault, request_id)]
        start_response(f"{status.value} {status.phrase}", headers)
        return body

    def _handle(self, environ: Environ) -> Result[tuple[HTTPStatus, object], Fault]:
        if not self._keys.accepts(environ.get("HTTP_AUTHORIZATION", "")):
            emit(logger, Event.OPERATOR_REFUSED, peer=environ.get("REMOTE_ADDR", ""))
            return Err(_fault(ResultCode.OPERATOR_REFUSED, "unknown or missing operator key"))
        path = environ["PATH_INFO"]
        words = path.removeprefix(PREFIX).split("/") if path.startswith(PREFIX) else []
        match (environ["REQUEST_METHOD"], *words):
            case ("GET", "objects"):
                query = parse_qs(environ.get("QUERY_STRING", ""))
                kinds, refs = query.get("kind", []), query.get("ref", [])
                return _plain(Ok(list_objects(self._follower.state, kinds, refs)))
            case ("POST", "changes"):
                return _read(environ, ChangeRequest).and_then(self._change)
            case ("POST", "restore"):
                return _read(environ, RestoreRequest, most=MAX_RESTORE_BODY).and_then(
                    lambda request: _plain(self._restores.restore(request.objects))
                )
            case ("GET", "changes", change_id):
                return self._changes.find(change_id).map(_change_answer)
            case ("GET", "status"):
                return _plain(Ok(self._report()))
            case ("GET", "targets"):
                return _plain(Ok(self._report_targets()))
            case ("GET", "requests", request_id):
                return _plain(self._explanations.explain(request_id))
            case ("POST", "targets", name, "drain"):
                author = environ.get(AUTHOR_HEADER, "")
                return self._changes.drain_target(name, author).map(_change_answer)
            case ("POST", "routers", name, "drain"):
                return _plain(self._drains.drain(name))
        return Err(_fault(ResultCode.UNKNOWN_PATH, f"no such path or method: {path}"))

    def _change(self, request: ChangeRequest) -> Result[tuple[HTTPStatus, object], Fault]:
        return self._changes.publish(request).map(_change_answer)

    def _report(self) -> FleetReport:
        routers, silent = self._status.collect()
        return FleetReport(answered_by=self._status.own().name, routers=routers, silent=silent)

    def _report_targets(self) -> TargetReport:
        name = self._status.own().name
        return TargetReport(answered_by=name, targets=self._targets.statuses())


def _encode(document: object) -> Iterable[bytes]:
    if isinstance(document, Iterator):
        return document
    return [json.dumps(DOCUMENT_CODEC.unstructure(document)).encode()]


def _plain(result: Result[Any, Fault]) -> Result[tuple[HTTPStatus, object], Fault]:
    return result.map(lambda document: (HTTPStatus.OK, document))


def _change_answer(outcome: Any) -> tuple[HTTPStatus, object]:
    return _VERDICT_STATUS.get(outcome.verdict, HTTPStatus.UNPROCESSABLE_ENTITY), outcome


def _read(environ: Environ, kind: type[T], *, most: int = MAX_BODY) -> Result[T, Fault]:
    length = environ.get("CONTENT_LENGTH") or "0"
    if not length.isdecimal():
        return Err(_fault(ResultCode.MALFORMED_REQUEST, "the content length is not a number"))
    if int(length) > most:
        return Err(_fault(ResultCode.BODY_TOO_LARGE, f"the body is longer than {most} bytes"))
    try:
        return Ok(CODEC.structure(json.loads(environ["wsgi.input"].read(int(length))), kind))
    except BaseValidationError as error:
        return Err(_fault(ResultCode.INVALID_MANIFEST, "; ".join(transform_error(error))))
    except Exception as error:  # json and hooks raise many types on hostile bytes
        detail = f"not a change: {type(error).__name__}: {error}"
        return Err(_fault(ResultCode.MALFORMED_REQUEST, detail))


def _fault(code: ResultCode, detail: str) -> Fault:
    return Fault(code=code, detail=detail)
