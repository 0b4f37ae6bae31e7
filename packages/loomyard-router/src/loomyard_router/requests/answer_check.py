"""Validation of a target's answer to an attempt."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

from loomyard.errors import Executed, Fault, ResultCode
from loomyard.objects import ServiceType
from loomyard.util.seconds import parse_seconds

if TYPE_CHECKING:
    from loomyard.external.engine import TargetAnswer, TargetCall
    from loomyard_router.requests.request import Request

NOT_RUN_HEADER = "loomyard-not-run"
LEAVING_HEADER = "loomyard-leaving"
RETRY_AFTER_HEADER = "retry-after"
EVENT_STREAM_TYPE = "text/event-stream"
REFUSED_RETRY_AFTER = 1.0
MAX_RETRY_AFTER = 60.0
MAX_STATUS = 599


def check_answer(request: Request, call: TargetCall, answer: TargetAnswer) -> Fault | None:
    """Return the fault of an answer that is a refusal or invalid, ``None`` for a valid one."""
    if answer.attempt_id and answer.attempt_id != call.attempt_id:
        return _invalid("the answer is for another attempt")
    headers = {name.lower(): value for name, value in answer.headers}
    if answer.status >= HTTPStatus.BAD_REQUEST and is_refusal(headers):
        detail = f"the target refused the request: status {answer.status}"
        retry_after = _retry_after(headers)
        return Fault(code=ResultCode.TARGET_REFUSED, detail=detail, retry_after=retry_after)
    if not HTTPStatus.OK <= answer.status <= MAX_STATUS:
        return _invalid(f"the target answered with status {answer.status}")
    if request.service.type is ServiceType.MODEL:
        return _check_model_answer(request, answer, headers)
    return None


def is_refusal(headers: dict[str, str]) -> bool:
    """Tell whether a target states that it did not run the request."""
    return headers.get(NOT_RUN_HEADER) == "1" or is_leaving(headers)


def is_leaving(headers: dict[str, str]) -> bool:
    """Tell whether a target states that it takes no new work."""
    return headers.get(LEAVING_HEADER) == "1"


def read_backoff(headers: dict[str, str]) -> float:
    """Return the seconds of back-off that a refusing target asks for; 0 where it asks for none."""
    return parse_seconds(headers.get(RETRY_AFTER_HEADER, ""))


def _check_model_answer(
    request: Request, answer: TargetAnswer, headers: dict[str, str]
) -> Fault | None:
    if answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
        detail = f"the engine failed with status {answer.status}"
        return Fault(code=ResultCode.TARGET_FAILED, detail=detail, executed=Executed.UNKNOWN)
    if HTTPStatus.MULTIPLE_CHOICES <= answer.status < HTTPStatus.BAD_REQUEST:
        return _invalid(f"the engine answered with status {answer.status}")
    streamed = headers.get("content-type", "").startswith(EVENT_STREAM_TYPE)
    if answer.status == HTTPStatus.OK and streamed != request.stream:
        return _invalid("the answer is a stream and none was requested, or the reverse")
    return None


def _retry_after(headers: dict[str, str]) -> float:
    try:
        seconds = float(headers.get(RETRY_AFTER_HEADER, REFUSED_RETRY_AFTER))
    except ValueError:
        return REFUSED_RETRY_AFTER
    return seconds if 0.0 <= seconds <= MAX_RETRY_AFTER else REFUSED_RETRY_AFTER


def _invalid(detail: str) -> Fault:
    return Fault(code=ResultCode.ANSWER_INVALID, detail=detail, executed=Executed.UNKNOWN)
