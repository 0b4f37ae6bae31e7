"""WSGI application for the HTTP interface of operators."""

from __future__ import annotations

import json
import logging
import secrets
from collections.abc import Iterator
from http import HTTPStatus
from typing import TYPE_CHECKING, Any, TypeVar
from urllib.parse import parse_qs

from cattrs import BaseValidationError
from result import Err, Ok, Result

from loomyard.codec import CODEC, DOCUMENT_CODEC
from loomyard.configuration import Verdict
from loomyard.errors import Fault, ResultCode
from loomyard.events import Event, emit
from loomyard.validation_errors import error_lines
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
    from loomyard_router.operators.config_restorer import ConfigRestorer
    from loomyard_router.operators.fleet_status import FleetStatus
    from loomyard_router.operators.keys import OperatorKeys
    from loomyard_router.operators.request_explainer import RequestExplainer
    from loomyard_router.operators.router_drainer import RouterDrainer
    from loomyard_router.targets.directory import TargetDirectory

    Environ = dict[str, Any]
    StartResponse = Callable[[str, list[tuple[str, str]]], Any]

T = TypeVar("T")

logger = logging.getLogger(__name__)

PREFIX = "/operators/v1/"
MAX_BODY_BYTES = 2 * 1024 * 1024
MAX_RESTORE_BODY_BYTES = 64 * 1024 * 1024
AUTHOR_HEADER = "HTTP_LOOMYARD_AUTHOR"

_VERDICT_STATUS = {
    Verdict.ACCEPTED.value: HTTPStatus.OK,
    Verdict.STALE.value: HTTPStatus.CONFLICT,
}


class OperatorsApp:
    """Authenticates operators and serves the paths below /operators/v1."""

    def __init__(
        self,
        *,
        keys: OperatorKeys,
        follower: ConfigFollower,
        publisher: ChangePublisher,
        fleet_status: FleetStatus,
        explainer: RequestExplainer,
        drainer: RouterDrainer,
        restorer: ConfigRestorer,
        targets: TargetDirectory,
    ) -> None:
        self._keys = keys
        self._follower = follower
        self._publisher = publisher
        self._fleet_status = fleet_status
        self._explainer = explainer
        self._drainer = drainer
        self._restorer = restorer
        self._targets = targets

    def __call__(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        request_id = f"op-{secrets.token_hex(8)}"
        match self._route_request(environ):
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

    def _route_request(self, environ: Environ) -> Result[tuple[HTTPStatus, object], Fault]:
        if not self._keys.accepts(environ.get("HTTP_AUTHORIZATION", "")):
            emit(logger, Event.OPERATOR_REFUSED, peer=environ.get("REMOTE_ADDR", ""))
            return Err(_make_fault(ResultCode.OPERATOR_REFUSED, "unknown or missing operator key"))
        path = environ["PATH_INFO"]
        segments = path.removeprefix(PREFIX).split("/") if path.startswith(PREFIX) else []
        match (environ["REQUEST_METHOD"], *segments):
            case ("GET", "objects"):
                query = parse_qs(environ.get("QUERY_STRING", ""))
                kinds, refs = query.get("kind", []), query.get("ref", [])
                return _with_ok_status(Ok(list_objects(self._follower.state, kinds, refs)))
            case ("POST", "changes"):
                return _read_document(environ, ChangeRequest).and_then(self._publish)
            case ("POST", "restore"):
                return _read_document(
                    environ, RestoreRequest, max_bytes=MAX_RESTORE_BODY_BYTES
                ).and_then(lambda request: _with_ok_status(self._restorer.restore(request.objects)))
            case ("GET", "changes", change_id):
                return self._publisher.find(change_id).map(_with_verdict_status)
            case ("GET", "status"):
                return _with_ok_status(Ok(self._report_fleet()))
            case ("GET", "targets"):
                return _with_ok_status(Ok(self._report_targets()))
            case ("GET", "requests", request_id):
                return _with_ok_status(self._explainer.explain(request_id))
            case ("POST", "targets", name, "drain"):
                author = environ.get(AUTHOR_HEADER, "")
                return self._publisher.drain_target(name, author).map(_with_verdict_status)
            case ("POST", "routers", name, "drain"):
                return _with_ok_status(self._drainer.drain(name))
        return Err(_make_fault(ResultCode.UNKNOWN_PATH, f"no such path or method: {path}"))

    def _publish(self, request: ChangeRequest) -> Result[tuple[HTTPStatus, object], Fault]:
        return self._publisher.publish(request).map(_with_verdict_status)

    def _report_fleet(self) -> FleetReport:
        routers, unresponsive = self._fleet_status.collect()
        return FleetReport(
            answered_by=self._fleet_status.own().name, routers=routers, silent=unresponsive
        )

    def _report_targets(self) -> TargetReport:
        name = self._fleet_status.own().name
        return TargetReport(answered_by=name, targets=self._targets.statuses())


def _encode(document: object) -> Iterable[bytes]:
    if isinstance(document, Iterator):
        return document
    return [json.dumps(DOCUMENT_CODEC.unstructure(document)).encode()]


def _with_ok_status(result: Result[Any, Fault]) -> Result[tuple[HTTPStatus, object], Fault]:
    return result.map(lambda document: (HTTPStatus.OK, document))


def _with_verdict_status(outcome: Any) -> tuple[HTTPStatus, object]:
    return _VERDICT_STATUS.get(outcome.verdict, HTTPStatus.UNPROCESSABLE_ENTITY), outcome


def _read_document(
    environ: Environ, kind: type[T], *, max_bytes: int = MAX_BODY_BYTES
) -> Result[T, Fault]:
    length = environ.get("CONTENT_LENGTH") or "0"
    if not length.isdecimal():
        return Err(_make_fault(ResultCode.MALFORMED_REQUEST, "the content length is not a number"))
    if int(length) > max_bytes:
        return Err(
            _make_fault(ResultCode.BODY_TOO_LARGE, f"the body is longer than {max_bytes} bytes")
        )
    try:
        return Ok(CODEC.structure(json.loads(environ["wsgi.input"].read(int(length))), kind))
    except BaseValidationError as error:
        return Err(_make_fault(ResultCode.INVALID_MANIFEST, "; ".join(error_lines(error))))
    except Exception as error:  # json and the codec's hooks raise many types on invalid bytes
        detail = f"the body can't be decoded: {type(error).__name__}: {error}"
        return Err(_make_fault(ResultCode.MALFORMED_REQUEST, detail))


def _make_fault(code: ResultCode, detail: str) -> Fault:
    return Fault(code=code, detail=detail)
