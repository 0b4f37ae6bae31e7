"""HTTP client of the log service: ``/streams/NAME/records`` with CBOR batches."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err, Ok, Result

from loomyard.codec import decode
from loomyard.errors import Executed, Fault, ResultCode
from loomyard.external.log_service import (
    MAX_READ_WAIT_SECONDS,
    READ_ANSWER_MARGIN_SECONDS,
    LogBatch,
)
from loomyard.util.addresses import split_address
from loomyard.util.answer_bounds import AnswerTooLargeError
from loomyard.util.tcp import make_http_client

if TYPE_CHECKING:
    from geventhttpclient import HTTPClient

    from loomyard.external.log_service import LogService

CONNECT_TIMEOUT = 1.0
ANSWER_TIMEOUT = 5.0
READ_TIMEOUT_SECONDS = MAX_READ_WAIT_SECONDS + READ_ANSWER_MARGIN_SECONDS
MAX_CONNECTIONS = 64
HTTP_OK = 200
HTTP_UNAVAILABLE = 503
# By so much fewer records are asked for where they have too many bytes together.
SMALLER_PAGE_FACTOR = 4


class HttpLogService:
    """Log service client with one connection pool for appends and one for reads."""

    def __init__(self, host: str, port: int) -> None:
        # Long-poll reads must not occupy the connections of appends.
        self._append_client = _make_client(host, port, ANSWER_TIMEOUT)
        self._read_client = _make_client(host, port, READ_TIMEOUT_SECONDS)

    def append(self, stream: str, payload: bytes) -> Result[int, Fault]:
        """Append a record and return its offset."""
        try:
            response = self._append_client.post(f"/streams/{stream}/records", body=payload)
            body = bytes(response.read())
        except ConnectionRefusedError as error:
            return Err(_unavailable(str(error)))
        except Exception as error:  # a reset or a timeout: the record may have been appended
            return Err(_answer_lost(str(error)))
        if response.status_code == HTTP_UNAVAILABLE:
            return Err(_unavailable("the log service refused the append"))
        if response.status_code != HTTP_OK or not body.isdigit():
            return Err(_answer_lost(f"status {response.status_code}"))
        return Ok(int(body))

    def read(
        self, stream: str, offset: int, *, limit: int = 1000, wait: float = 0.0
    ) -> Result[LogBatch, Fault]:
        """Read records from an offset on; wait up to ``wait`` seconds if there are none."""
        query = f"from={offset}&limit={limit}&wait={wait:.3f}"
        try:
            response = self._read_client.get(f"/streams/{stream}/records?{query}")
            body = bytes(response.read())
        except AnswerTooLargeError as error:
            if limit == 1:
                return Err(_unavailable(str(error)))
            return self.read(stream, offset, limit=max(1, limit // SMALLER_PAGE_FACTOR))
        except Exception as error:
            return Err(_unavailable(str(error)))
        if response.status_code != HTTP_OK:
            return Err(_unavailable(f"status {response.status_code}"))
        return decode(body, LogBatch).map_err(_unavailable)


def connect_log(address: str) -> LogService:
    """Make a log client for ``host:port``."""
    return HttpLogService(*split_address(address))


def _make_client(host: str, port: int, timeout: float) -> HTTPClient:
    return make_http_client(
        host,
        port,
        concurrency=MAX_CONNECTIONS,
        connection_timeout=CONNECT_TIMEOUT,
        network_timeout=timeout,
    )


def _unavailable(detail: str) -> Fault:
    return Fault(code=ResultCode.LOG_UNAVAILABLE, detail=detail)


def _answer_lost(detail: str) -> Fault:
    return Fault(code=ResultCode.LOG_ANSWER_LOST, detail=detail, executed=Executed.UNKNOWN)
