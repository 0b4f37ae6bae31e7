"""Log service in memory, with fault injection."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs

import gevent
from gevent.event import Event
from result import Err, Ok, Result

from loomyard.codec import encode
from loomyard.errors import Executed, Fault, ResultCode
from loomyard.external.log_service import LogBatch, LogRecord
from loomyard_standins.served_standin import LOOPBACK, ServedStandin

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable


class MemoryLog:
    """Append-only streams in memory.

    Injected faults: ``down`` refuses every call; the next ``lose_answers`` appends take effect
    but report a lost answer; ``delay`` in seconds is added to each call.
    """

    def __init__(self) -> None:
        self.down = False
        self.lose_answers = 0
        self.delay = 0.0
        self.appends = 0
        self._records: defaultdict[str, list[bytes]] = defaultdict(list)
        self._first: defaultdict[str, int] = defaultdict(int)
        self._grown = Event()

    @property
    def streams(self) -> list[str]:
        """Return the names of the streams."""
        return list(self._records)

    def append(self, stream: str, payload: bytes) -> Result[int, Fault]:
        if self.delay:
            gevent.sleep(self.delay)
        if self.down:
            return Err(_unavailable())
        self.appends += 1
        self._records[stream].append(payload)
        self._grown.set()
        self._grown = Event()
        if self.lose_answers:
            self.lose_answers -= 1
            return Err(
                Fault(
                    code=ResultCode.LOG_ANSWER_LOST,
                    detail="the answer was lost",
                    executed=Executed.UNKNOWN,
                )
            )
        return Ok(self._first[stream] + len(self._records[stream]) - 1)

    def read(
        self, stream: str, offset: int, *, limit: int = 1000, wait: float = 0.0
    ) -> Result[LogBatch, Fault]:
        if self.delay:
            gevent.sleep(self.delay)
        if wait and offset >= self.end(stream) and not self.down:
            self._await_growth(stream, offset, wait)
        if self.down:
            return Err(_unavailable())
        first = self._first[stream]
        start = max(offset, first)
        payloads = self._records[stream][start - first : start - first + limit]
        records = tuple(LogRecord(start + i, payload) for i, payload in enumerate(payloads))
        return Ok(LogBatch(first, self.end(stream), records))

    def trim(self, stream: str, before: int) -> None:
        """Delete the records before an offset."""
        count = max(0, min(before, self.end(stream)) - self._first[stream])
        del self._records[stream][:count]
        self._first[stream] += count

    def end(self, stream: str) -> int:
        """Return the offset of the next record."""
        return self._first[stream] + len(self._records[stream])

    def _await_growth(self, stream: str, offset: int, wait: float) -> None:
        with gevent.Timeout(wait, False):
            while offset >= self.end(stream) and not self.down:
                self._grown.wait()


class LogServer(ServedStandin):
    """HTTP server for a ``MemoryLog``."""

    def __init__(self, log: MemoryLog, listen: tuple[str, int] = LOOPBACK) -> None:
        self.log = log
        super().__init__(listen, self._serve)

    def _serve(self, environ: dict[str, Any], start_response: Callable) -> Iterable[bytes]:
        stream = environ["PATH_INFO"].split("/")[2]
        if environ["REQUEST_METHOD"] == "POST":
            result: Any = self.log.append(stream, environ["wsgi.input"].read()).map(
                lambda offset: str(offset).encode()
            )
        else:
            query = parse_qs(environ["QUERY_STRING"])
            result = self.log.read(
                stream,
                int(query["from"][0]),
                limit=int(query["limit"][0]),
                wait=float(query["wait"][0]),
            ).map(encode)
        match result:
            case Ok(body):
                start_response("200 OK", [("Content-Type", "application/cbor")])
                return [body]
            case Err(fault):
                lost = fault.code is ResultCode.LOG_ANSWER_LOST
                status = "504 Gateway Timeout" if lost else "503 Service Unavailable"
                start_response(status, [("Content-Type", "text/plain")])
        return [b""]


def _unavailable() -> Fault:
    return Fault(code=ResultCode.LOG_UNAVAILABLE, detail="the log service is down")
