"""Relay of one stream, resumed at the engine where it breaks off."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err, Ok, Result

from loomyard.errors import Executed, Fault, ResultCode

if TYPE_CHECKING:
    from collections.abc import Callable

    from loomyard.outside.engine import TargetAnswer
    from loomyard_router.relays.event_stream import EventStream

    Resume = Callable[[int], Result[TargetAnswer, Fault]]

MAX_RESUMES = 3


class StreamRelay:
    """Read whole events of one attempt."""

    def __init__(self, answer: TargetAnswer, stream: EventStream, resume: Resume) -> None:
        self.stream = stream
        self._answer = answer
        self._resume = resume
        self._resumes = 0

    def read(self) -> Result[bytes, Fault]:
        """Return the next whole events; empty after the final one.

        Errors: ``ANSWER_INCOMPLETE``, ``ANSWER_INVALID``, ``STREAM_GONE``.
        """
        while not self.stream.done:
            match self._answer.read():
                case Ok(b""):
                    broken = _incomplete("the stream ended before its final event")
                case Ok(data):
                    events = self.stream.feed(data)
                    if events is None:
                        return Err(_invalid("events are missing or have no end"))
                    if events:
                        return Ok(events)
                    continue
                case Err(fault):
                    broken = fault
            match self._mend(broken):
                case Err(fault):
                    return Err(fault)
        return Ok(b"")

    def finish(self) -> None:
        """Read past the final event, so that the connection can be used again."""
        while self._answer.read().unwrap_or(b""):
            pass

    def close(self) -> None:
        """Give up the connection; a task that reads gets an error."""
        self._answer.close()

    def _mend(self, broken: Fault) -> Result[None, Fault]:
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
