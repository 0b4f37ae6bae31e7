"""Protocol of the log service: append-only streams of records with offsets."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from attrs import frozen

if TYPE_CHECKING:
    from result import Result

    from loomyard.errors import Fault

# Maximum seconds of a long-poll read, and the margin for its answer. A read that is sent during an
# outage of the log service may never be answered. The sum of both is the time until it fails, and
# so the longest delay of a change after the outage: 5 s with a wait of 2 s and a timeout of 5 s.
MAX_READ_WAIT_SECONDS = 1.0
READ_ANSWER_MARGIN_SECONDS = 1.0


@frozen
class LogRecord:
    """A record and its offset in its stream."""

    offset: int
    payload: bytes


@frozen
class LogBatch:
    """Records in offset order; ``first`` is the oldest offset retained, ``end`` the next free."""

    first: int
    end: int
    records: tuple[LogRecord, ...]


class LogService(Protocol):
    """Client of the log service.

    Errors of ``append``: ``LOG_UNAVAILABLE`` (not appended), ``LOG_ANSWER_LOST`` (unknown).
    Errors of ``read``: ``LOG_UNAVAILABLE``.
    """

    def append(self, stream: str, payload: bytes) -> Result[int, Fault]:
        """Append a record and return its offset."""

    def read(
        self, stream: str, offset: int, *, limit: int = 1000, wait: float = 0.0
    ) -> Result[LogBatch, Fault]:
        """Read records from an offset on; wait up to ``wait`` seconds if there are none.

        ``wait`` is at most ``READ_WAIT``; the read fails ``READ_ANSWER_SECONDS`` after that.
        """
