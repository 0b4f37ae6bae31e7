"""Answers that are passed on whole."""

from __future__ import annotations

import json
from http import HTTPStatus
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from loomyard.errors import Executed, Fault, ResultCode
from loomyard.objects import ServiceType
from loomyard_router.claims.keeper import RecordedOutcome
from loomyard_router.relays.usage import find_usage
from loomyard_router.requests.answer import Answer
from loomyard_router.requests.answer_check import EVENT_STREAM_TYPE
from loomyard_router.requests.body import Body

if TYPE_CHECKING:
    from collections.abc import Generator

    from loomyard.outside.engine import TargetAnswer
    from loomyard_router.requests.attempt import Attempt
    from loomyard_router.requests.claimed_run import ClaimedRun
    from loomyard_router.requests.request import Request

HELD_BYTES = 1 << 20
RECORDED_BYTES = 1 << 16
JSON_TYPE = "application/json"


class AnswerBrokenError(Exception):
    """An answer broke off after a part of it was passed on; the connection must end."""


def hold_whole(request: Request, attempt: Attempt) -> Result[bool, Fault]:
    """Read an answer up to a bound and check it; true where all of it was read.

    An event stream of a plain service is not held.

    Errors: ``ANSWER_INCOMPLETE``, ``ANSWER_INVALID``; the attempt is settled then.
    """
    if _type(attempt.answer.headers).startswith(EVENT_STREAM_TYPE):
        return Ok(False)
    match _collect(attempt.answer):
        case Ok((body, whole)):
            attempt.first = body
        case Err(fault):
            attempt.settlement.settle_uncertain()
            return Err(fault)
    if not whole:
        return Ok(False)
    attempt.settlement.settle(find_usage(attempt.first))
    if request.service.type is ServiceType.MODEL and attempt.answer.status == HTTPStatus.OK:
        return _check_json(attempt.first)
    return Ok(True)


def pass_whole(request: Request, attempt: Attempt, run: ClaimedRun, *, whole: bool) -> Answer:
    """Pass a held answer on, and the rest of one that is longer than what is held."""
    status, headers = attempt.answer.status, attempt.answer.headers
    if whole:
        body = attempt.first if len(attempt.first) <= RECORDED_BYTES else None
        run.finish(RecordedOutcome(status=status, content_type=_type(headers), body=body))
        return Answer(status=status, headers=headers, body=[attempt.first])
    outcome = RecordedOutcome(status=status, content_type=_type(headers), body=None)

    def end() -> None:
        attempt.answer.close()
        attempt.settlement.settle(None)
        run.finish(outcome)

    return Answer(status=status, headers=headers, body=Body(_rest(attempt), end))


def replay(outcome: RecordedOutcome) -> Answer:
    """Answer with a recorded outcome."""
    headers = [("Content-Type", outcome.content_type), ("Loomyard-Replayed", "1")]
    return Answer(status=outcome.status, headers=headers, body=[outcome.body or b""])


def not_kept_fault(outcome: RecordedOutcome) -> Fault:
    """Return the fault of a repeat whose recorded outcome has no body."""
    return Fault(
        code=ResultCode.BODY_NOT_KEPT,
        detail=f"it ran and was answered with status {outcome.status}; the body was not kept",
        executed=Executed.YES,
    )


def _collect(answer: TargetAnswer) -> Result[tuple[bytes, bool], Fault]:
    blocks: list[bytes] = []
    size = 0
    while size <= HELD_BYTES:
        match answer.read():
            case Err(fault):
                return Err(fault)
            case Ok(b""):
                answer.close()
                return Ok((b"".join(blocks), True))
            case Ok(block):
                blocks.append(block)
                size += len(block)
    return Ok((b"".join(blocks), False))


def _rest(attempt: Attempt) -> Generator[bytes, None, None]:
    yield attempt.first
    while True:
        match attempt.answer.read():
            case Err(fault):
                raise AnswerBrokenError(fault.detail)
            case Ok(b""):
                return
            case Ok(block):
                yield block


def _check_json(body: bytes) -> Result[bool, Fault]:
    try:
        valid = isinstance(json.loads(body), dict)
    except (ValueError, RecursionError):
        valid = False
    if valid:
        return Ok(True)
    detail = "the engine's answer is not a JSON object"
    fault = Fault(code=ResultCode.ANSWER_INVALID, detail=detail, executed=Executed.UNKNOWN)
    return Err(fault)


def _type(headers: list[tuple[str, str]]) -> str:
    return next((v for n, v in headers if n.lower() == "content-type"), JSON_TYPE)
