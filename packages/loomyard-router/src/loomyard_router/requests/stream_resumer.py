"""Resuming of streams by their callers, at any router."""

from __future__ import annotations

import logging
import re
from http import HTTPStatus
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from loomyard.errors import Executed, Fault, ResultCode
from loomyard.events import Event, emit
from loomyard.external.engine import TargetCall
from loomyard_router.callers.problems import error_event
from loomyard_router.relays.event_stream import EventStream
from loomyard_router.relays.stream_relay import StreamRelay
from loomyard_router.requests.answer import Answer
from loomyard_router.requests.answer_check import EVENT_STREAM_TYPE
from loomyard_router.requests.body import Body
from loomyard_router.requests.slot_queue import stopping_fault
from loomyard_router.requests.stream_token import StreamToken

if TYPE_CHECKING:
    from collections.abc import Callable, Generator

    from loomyard.clock import Clock
    from loomyard.external.engine import Engine
    from loomyard.objects import ClientAccount
    from loomyard_router.configuration.follower import ConfigFollower
    from loomyard_router.requests.attempt import Attempt
    from loomyard_router.requests.caller_presence import CallerPresence
    from loomyard_router.requests.pending_resumes import PendingResumes
    from loomyard_router.requests.request import Request
    from loomyard_router.requests.stream_token import StreamTokens

logger = logging.getLogger(__name__)

RESUME_SECONDS = 300.0
_EVENT_ID = re.compile(r"[0-9]{1,18}\Z")


class StreamResumer:
    """Issue request ids under which streams can be resumed, and resume them.

    A resumed stream takes no slot, as its work runs at the engine already or is done.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        follower: ConfigFollower,
        engine: Engine,
        tokens: StreamTokens,
        pending: PendingResumes,
    ) -> None:
        self.pending = pending
        self._clock = clock
        self._follower = follower
        self._engine = engine
        self._tokens = tokens

    def make_resumable_id(self, request: Request, attempt: Attempt) -> str:
        """Return the request id under which the caller can resume."""
        return self._tokens.sign(
            StreamToken(
                request_id=request.request_id,
                account=request.account.metadata.name,
                target=attempt.target,
                number=attempt.number,
                router=self.pending.router,
                usage_asked=request.usage_requested,
            )
        )

    def resume(
        self,
        account: ClientAccount,
        text: str,
        last_event_id: str | None,
        presence: CallerPresence,
        stopping: Callable[[], bool],
    ) -> Result[Answer, Fault]:
        """Return the rest of a stream after the last event that the caller has.

        Errors: ``INVALID_RESUME``, ``STOPPING``, ``STREAM_GONE``, ``ANSWER_INVALID``,
        ``ANSWER_LOST``, ``TARGET_UNREACHABLE``.
        """
        if stopping():
            return Err(stopping_fault())
        token = self._tokens.read(text)
        if token is None or token.account != account.metadata.name:
            detail = "no stream of this client account has this request id"
            return Err(Fault(code=ResultCode.INVALID_RESUME, detail=detail))
        if last_event_id is not None and not _EVENT_ID.match(last_event_id):
            detail = "Last-Event-ID is not the number of an event"
            return Err(Fault(code=ResultCode.INVALID_RESUME, detail=detail))
        after = -1 if last_event_id is None else int(last_event_id)
        return self._open(token, after, text, presence)

    def _open(
        self, token: StreamToken, after: int, text: str, presence: CallerPresence
    ) -> Result[Answer, Fault]:
        target = self._follower.routing.targets.get(token.target)
        if target is None:
            return Err(
                _uncertain_fault(ResultCode.STREAM_GONE, "the target is no longer configured")
            )
        self.pending.notify_resumed(token.attempt_id, token.router)
        call = TargetCall(
            attempt_id=token.attempt_id,
            url=target.url,
            method="GET",
            path="/",
            deadline=self._clock.now() + RESUME_SECONDS,
        )
        opened = self._engine.resume(call, after)
        if opened.is_err():
            fault = opened.unwrap_err()
            return Err(_uncertain_fault(fault.code, fault.detail))
        answer = opened.unwrap()
        if answer.attempt_id not in ("", token.attempt_id):
            answer.close()
            detail = "the answer is for another attempt"
            return Err(_uncertain_fault(ResultCode.ANSWER_INVALID, detail))
        emit(logger, Event.CALLER_RESUMED, attempt=token.attempt_id, after=after)
        stream = EventStream(drop_usage=not token.usage_asked, after=after)
        relay = StreamRelay(answer, stream, lambda at: self._engine.resume(call, at))
        presence.subscribe(relay.close)
        headers = [("Content-Type", EVENT_STREAM_TYPE), ("Cache-Control", "no-store")]
        body = Body(_blocks(relay, text), relay.close)
        return Ok(Answer(status=HTTPStatus.OK, headers=headers, body=body, request_id=text))


def _blocks(relay: StreamRelay, text: str) -> Generator[bytes, None, None]:
    while True:
        match relay.read():
            case Ok(b""):
                break
            case Ok(events):
                yield events
            case Err(fault):
                yield error_event(fault, text, idempotent=False)
                return
    relay.finish()


def _uncertain_fault(code: ResultCode, detail: str) -> Fault:
    return Fault(code=code, detail=detail, executed=Executed.UNKNOWN)
