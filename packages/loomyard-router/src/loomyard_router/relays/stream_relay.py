"""Relay of one stream, resumed at the engine after a lost connection."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err, Ok, Result

from loomyard.errors import Executed, Fault, ResultCode

if TYPE_CHECKING:
    from collections.abc import Callable

    from loomyard.external.engine import TargetAnswer
    from loomyard_router.relays.event_stream import EventStream

    Resume = Callable[[int], Result[TargetAnswer, Fault]]

MAX_RESUMES = 3


class StreamRelay:
    """Reads complete events of one attempt; resumes it up to ``MAX_RESUMES`` times."""

    def __init__(self, answer: TargetAnswer, stream: EventStream, resume: Resume) -> None:
        self.stream = stream
        self._answer = answer
        self._resume = resume
        self._resumes = 0

    def read(self) -> Result[bytes, Fault]:
        """Return the next complete events; empty after the final one.

        Errors: ``ANSWER_INCOMPLETE``, ``ANSWER_INVALID``, ``STREAM_GONE``.
        """
        while not self.stream.done:
            match self._answer.read():
                case Ok(b""):
                    broken = _incomplete("the stream ended before its final event")
                case Ok(data):
                    events = self.stream.feed(data)
                    if events is None:
                        return Err(_invalid("events are missing or too long"))
                    if events:
                        return Ok(events)
                    continue
                case Err(fault):
                    broken = fault
            match self._resume_stream(broken):
                case Err(fault):
                    return Err(fault)
        return Ok(b"")

    def finish(self) -> None:
        """Read to the end of the answer, so that the connection can be reused."""
        while self._answer.read().unwrap_or(b""):
            pass

    def close(self) -> None:
        """Close the connection; a pending read fails."""
        self._answer.close()

    def _resume_stream(self, broken: Fault) -> Result[None, Fault]:
        self._answer.close()
        while self._resumes < MAX_RESUMES:
            self._resumes += 1
            resumed = self._resume(self.stream.last_id)
            if resumed.is_ok():
                self._answer = resumed.unwrap()
                self.stream.restart()
                return Ok(None)
            if resumed.unwrap_err().code is ResultCode.STREAM_GONE:
                break
        return Err(broken)


def _incomplete(detail: str) -> Fault:
    return Fault(code=ResultCode.ANSWER_INCOMPLETE, detail=detail, executed=Executed.UNKNOWN)


def _invalid(detail: str) -> Fault:
    return Fault(code=ResultCode.ANSWER_INVALID, detail=detail, executed=Executed.UNKNOWN)
