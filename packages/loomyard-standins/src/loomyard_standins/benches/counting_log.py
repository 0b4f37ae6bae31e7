"""Log client that counts appends."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from result import Result

    from loomyard.errors import Fault
    from loomyard.external.log_service import LogBatch, LogService


class CountingLog:
    """Forward to a log service and count the appends of one router."""

    def __init__(self, log: LogService) -> None:
        self.appends = 0
        self._log = log

    def append(self, stream: str, payload: bytes) -> Result[int, Fault]:
        self.appends += 1
        return self._log.append(stream, payload)

    def read(
        self, stream: str, offset: int, *, limit: int = 1000, wait: float = 0.0
    ) -> Result[LogBatch, Fault]:
        return self._log.read(stream, offset, limit=limit, wait=wait)
