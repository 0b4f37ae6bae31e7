"""Answers that are read up to a limit before they are relayed."""

from __future__ import annotations

import json
from http import HTTPStatus
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from loomyard.errors import Executed, Fault, ResultCode
from loomyard.objects import ServiceType
from loomyard_router.claims.claim_coordinator import RecordedOutcome
from loomyard_router.relays.usage import find_usage
from loomyard_router.requests.answer import Answer
from loomyard_router.requests.answer_check import EVENT_STREAM_TYPE
from loomyard_router.requests.body import Body

if TYPE_CHECKING:
    from collections.abc import Generator

    from loomyard.external.engine import TargetAnswer
    from loomyard_router.requests.attempt import Attempt
    from loomyard_router.requests.claimed_run import ClaimedRun
    from loomyard_router.requests.request import Request

MAX_BUFFERED_BYTES = 1 << 20
MAX_RECORDED_BYTES = 1 << 16
JSON_TYPE = "application/json"


class AnswerBrokenError(Exception):
    """An answer broke off after part of it was relayed; the caller's connection must be closed."""


def read_whole(request: Request, attempt: Attempt) -> Result[bool, Fault]:
    """Read an answer up to ``MAX_BUFFERED_BYTES``, check it and return whether that was all.

    An event stream of a plain service is relayed unread.

    Errors: ``ANSWER_INCOMPLETE``, ``ANSWER_INVALID``; the attempt is settled then.
    """
    if _content_type(attempt.answer.headers).startswith(EVENT_STREAM_TYPE):
        return Ok(False)
    match _collect(attempt.answer):
        case Ok((body, complete)):
            attempt.first = body
        case Err(fault):
            attempt.settlement.settle_uncertain()
            return Err(fault)
    if not complete:
        return Ok(False)
    attempt.settlement.settle(find_usage(attempt.first))
    if request.service.type is ServiceType.MODEL and attempt.answer.status == HTTPStatus.OK:
        return _check_json(attempt.first)
    return Ok(True)


def make_answer(request: Request, attempt: Attempt, run: ClaimedRun, *, complete: bool) -> Answer:
    """Return the answer to the caller; the rest of a long one is relayed as it arrives."""
    status, headers = attempt.answer.status, attempt.answer.headers
    if complete:
        body = attempt.first if len(attempt.first) <= MAX_RECORDED_BYTES else None
        run.finish(RecordedOutcome(status=status, content_type=_content_type(headers), body=body))
        return Answer(status=status, headers=headers, body=[attempt.first])
    outcome = RecordedOutcome(status=status, content_type=_content_type(headers), body=None)

    def end() -> None:
        attempt.answer.close()
        attempt.settlement.settle(None)
        run.finish(outcome)

    return Answer(status=status, headers=headers, body=Body(_rest(attempt), end))


def replay(outcome: RecordedOutcome) -> Answer:
    """Return the answer that was recorded for the key."""
    headers = [("Content-Type", outcome.content_type), ("Loomyard-Replayed", "1")]
    return Answer(status=outcome.status, headers=headers, body=[outcome.body or b""])


def body_not_recorded_fault(outcome: RecordedOutcome) -> Fault:
    """Return the fault of a repeat whose recorded outcome has no body."""
    return Fault(
        code=ResultCode.BODY_NOT_KEPT,
        detail=f"the request ran, with status {outcome.status}; the answer's body was not recorded",
        executed=Executed.YES,
    )


def _collect(answer: TargetAnswer) -> Result[tuple[bytes, bool], Fault]:
    blocks: list[bytes] = []
    size = 0
    while size <= MAX_BUFFERED_BYTES:
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


def _content_type(headers: list[tuple[str, str]]) -> str:
    return next((v for n, v in headers if n.lower() == "content-type"), JSON_TYPE)
