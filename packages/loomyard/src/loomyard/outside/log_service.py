"""The log service: append-only streams with offsets."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from attrs import frozen

if TYPE_CHECKING:
    from result import Result

    from loomyard.errors import Fault

# Seconds a read waits for records, and what an answer may take beyond. A log that falls silent
# never answers what was due meanwhile, so their sum is how long silence can pass for a quiet
# stream. With a wait of 2 s and a timeout of 5 s a change came up to 5 s after an outage had ended.
READ_WAIT = 1.0
READ_ANSWER_SECONDS = 1.0


@frozen
class LogRecord:
    """A record and its offset in its stream."""

    offset: int
    payload: bytes


@frozen
class LogBatch:
    """Records in offset order; ``first`` is the oldest offset kept, ``end`` the next to come."""

    first: int
    end: int
    records: tuple[LogRecord, ...]


class LogService(Protocol):
    """Append to and read from streams.

    Errors of ``append``: ``LOG_UNAVAILABLE`` (not appended), ``LOG_ANSWER_LOST`` (unknown).
    Errors of ``read``: ``LOG_UNAVAILABLE``.
    """

    def append(self, stream: str, payload: bytes) -> Result[int, Fault]:
        """Append a record and return its offset."""

    def read(
        self, stream: str, offset: int, *, limit: int = 1000, wait: float = 0.0
    ) -> Result[LogBatch, Fault]:
        """Read from an offset on; wait up to some seconds while there is nothing new.

        The wait is ``READ_WAIT`` at most; an error comes ``READ_ANSWER_SECONDS`` after that.
        """
