"""Faults as HTTP statuses, problem documents (RFC 9457) and OpenAI errors."""

from __future__ import annotations

import json
import math
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

from loomyard.errors import Executed, ResultCode

if TYPE_CHECKING:
    from loomyard.errors import Fault

PROBLEM_TYPE = "application/problem+json"
JSON_TYPE = "application/json"

_STATUS = {
    ResultCode.MALFORMED_REQUEST: HTTPStatus.BAD_REQUEST,
    ResultCode.BODY_TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    ResultCode.UNKNOWN_KEY: HTTPStatus.UNAUTHORIZED,
    ResultCode.UNKNOWN_SERVICE: HTTPStatus.NOT_FOUND,
    ResultCode.NO_ROUTE: HTTPStatus.FORBIDDEN,
    ResultCode.UNKNOWN_PATH: HTTPStatus.NOT_FOUND,
    ResultCode.METHOD_NOT_ALLOWED: HTTPStatus.METHOD_NOT_ALLOWED,
    ResultCode.INVALID_RESUME: HTTPStatus.BAD_REQUEST,
    ResultCode.UNKNOWN_REQUEST: HTTPStatus.NOT_FOUND,
    ResultCode.DEADLINE_PASSED: HTTPStatus.GATEWAY_TIMEOUT,
    ResultCode.QUEUE_FULL: HTTPStatus.TOO_MANY_REQUESTS,
    ResultCode.TARGET_UNREACHABLE: HTTPStatus.BAD_GATEWAY,
    ResultCode.ANSWER_LOST: HTTPStatus.BAD_GATEWAY,
    ResultCode.ANSWER_INCOMPLETE: HTTPStatus.BAD_GATEWAY,
    ResultCode.ANSWER_INVALID: HTTPStatus.BAD_GATEWAY,
    ResultCode.TARGET_FAILED: HTTPStatus.BAD_GATEWAY,
    ResultCode.STREAM_GONE: HTTPStatus.GONE,
    ResultCode.KEY_REUSED: HTTPStatus.UNPROCESSABLE_ENTITY,
    ResultCode.KEY_EXPIRED: HTTPStatus.CONFLICT,
    ResultCode.KEY_IN_PROGRESS: HTTPStatus.CONFLICT,
    ResultCode.OUTCOME_UNKNOWN: HTTPStatus.CONFLICT,
    ResultCode.BODY_NOT_KEPT: HTTPStatus.CONFLICT,
    ResultCode.INVALID_MANIFEST: HTTPStatus.UNPROCESSABLE_ENTITY,
    ResultCode.CHANGE_REJECTED: HTTPStatus.UNPROCESSABLE_ENTITY,
    ResultCode.CHANGE_UNSETTLED: HTTPStatus.GATEWAY_TIMEOUT,
    ResultCode.UNKNOWN_OBJECT: HTTPStatus.NOT_FOUND,
    ResultCode.OPERATOR_REFUSED: HTTPStatus.UNAUTHORIZED,
}


def status_of(code: ResultCode) -> HTTPStatus:
    """Return the HTTP status of a result code, 503 for those without one of their own."""
    return _STATUS.get(code, HTTPStatus.SERVICE_UNAVAILABLE)


def status_line(status: int) -> str:
    """Return the WSGI status line: the status and its reason phrase."""
    try:
        return f"{int(status)} {HTTPStatus(status).phrase}"
    except ValueError:
        return f"{status} Unknown"


def encode_empty_answer(status: int, headers: list[tuple[str, str]]) -> bytes:
    """Return an answer without a body, after which the connection is closed."""
    lines = [f"{name}: {value}\r\n" for name, value in headers]
    return (
        f"HTTP/1.1 {status_line(status)}\r\n{''.join(lines)}"
        "Content-Length: 0\r\nConnection: close\r\n\r\n"
    ).encode()


def problem_headers(fault: Fault, request_id: str) -> list[tuple[str, str]]:
    """Return the headers of a refusal: request ids and, if the fault has one, Retry-After."""
    headers = [("Loomyard-Request-Id", request_id), ("X-Request-Id", request_id)]
    if fault.retry_after is not None:
        headers.append(("Retry-After", str(math.ceil(fault.retry_after))))
    return headers


def problem_document(
    fault: Fault, request_id: str, *, openai: bool, idempotent: bool = False
) -> tuple[str, bytes]:
    """Return content type and body of a problem document, or of an OpenAI error."""
    extra: dict[str, Any] = {
        "code": int(fault.code),
        "request_id": request_id,
        "executed": fault.executed.value,
        "retry_safe": idempotent or fault.executed is Executed.NO,
    }
    name = fault.code.name.lower()
    if openai:
        return JSON_TYPE, json.dumps(_openai_error(fault, extra)).encode()
    body = {
        "type": f"urn:loomyard:problem:{int(fault.code)}",
        "title": name.replace("_", " "),
        "status": int(status_of(fault.code)),
        "detail": fault.detail,
        **extra,
    }
    return PROBLEM_TYPE, json.dumps(body).encode()


def error_event(fault: Fault, request_id: str, *, idempotent: bool) -> bytes:
    """Return the server-sent event that ends an incomplete stream."""
    _, body = problem_document(fault, request_id, openai=True, idempotent=idempotent)
    return b"data: " + body + b"\n\n"


def _openai_error(fault: Fault, extra: dict[str, Any]) -> dict[str, Any]:
    error = {
        "message": fault.detail,
        "type": fault.code.name.lower(),
        "param": None,
        "code": str(int(fault.code)),
        "loomyard": extra,
    }
    return {"error": error}
