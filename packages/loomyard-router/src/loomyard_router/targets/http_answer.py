"""Answers of targets over HTTP, read in blocks."""

from __future__ import annotations

from time import perf_counter
from typing import TYPE_CHECKING, Any

from gevent import get_hub
from geventhttpclient.response import HTTPConnectionClosed, HTTPSocketPoolResponse
from result import Err, Ok, Result

from loomyard.errors import Executed, Fault, ResultCode
from loomyard.util.answer_bounds import BoundedFraming, ReadPacer
from loomyard.util.read_buffer import receive
from loomyard.util.tcp import count_unacknowledged

if TYPE_CHECKING:
    from gevent.socket import socket

ATTEMPT_HEADER = "Loomyard-Attempt"
BLOCK_SIZE = 65536
# Event mask of libev for a readable socket.
READABLE = 1


class BlockResponse(BoundedFraming, HTTPSocketPoolResponse):
    """A response whose body is read in blocks of whatever has arrived.

    One timer per answer detects stalls, which is cheaper than a timeout for each read.
    """

    def __init__(self, sock: socket, pool: object, **options: Any) -> None:
        self._reads = 0
        self._seen_reads = 0
        self._stall: Any = None
        self._readable: Any = None
        # Over TLS, decrypted bytes may wait in the library while the socket is not readable.
        self._pending_bytes: Any = None
        self._pacer = ReadPacer()
        super().__init__(sock, pool, **options)  # type: ignore[arg-type]

    def start_stall_timer(self, stall_seconds: float) -> None:
        """Prepare to read the body; abort after one to two times ``stall_seconds`` without data."""
        if self._sock is None:
            return
        self._sock.settimeout(None)
        self._pending_bytes = getattr(self._sock, "pending", None)
        loop = get_hub().loop
        self._readable = loop.io(self._sock.fileno(), READABLE)
        self._stall = loop.timer(stall_seconds, stall_seconds)
        self._stall.start(self._check_stall)

    def read_block(self) -> bytes:
        """Return what has arrived, waiting for the first byte; empty at the end of the body.

        Raises ``HTTPConnectionClosed`` after an abort.
        """
        buffer = self._body_buffer
        while not buffer and not self.message_complete:
            sock = self._sock
            if sock is None:
                raise HTTPConnectionClosed("connection closed")
            if not (self._pending_bytes and self._pending_bytes()):
                get_hub().wait(self._readable)
            self._reads += 1
            data = receive(sock, self._pacer.read_bytes)
            if not data and count_unacknowledged(sock):
                # An end that comes before the request has arrived is not that of its answer.
                raise HTTPConnectionClosed("closed before the whole request had arrived")
            received_at = perf_counter()
            self.feed(data)
            self._pacer.record(len(data), perf_counter() - received_at)
        block = bytes(buffer)
        buffer.clear()
        return block

    def release(self) -> None:
        self._stop_watchers()
        super().release()

    def abort(self) -> None:
        """Close the connection unless the answer was read completely; a waiting read fails."""
        self._stop_watchers()
        pool, sock = self._pool, self._sock
        self._sock = self._pool = None
        if pool is not None and sock is not None:
            pool.release_socket(sock)

    def _check_stall(self) -> None:
        if self._reads == self._seen_reads:
            self.abort()
        self._seen_reads = self._reads

    def _stop_watchers(self) -> None:
        stall, self._stall = self._stall, None
        if stall is not None:
            stall.stop()
            stall.close()
        readable, self._readable = self._readable, None
        if readable is not None:
            get_hub().cancel_wait(readable, HTTPConnectionClosed("connection closed"), True)


class HttpAnswer:
    """The ``TargetAnswer`` of an HTTP target."""

    def __init__(self, response: BlockResponse) -> None:
        self._response = response

    @property
    def status(self) -> int:
        return self._response.status_code

    @property
    def headers(self) -> list[tuple[str, str]]:
        return [(str(name), str(value)) for name, value in self._response.items()]

    @property
    def attempt_id(self) -> str:
        return str(self._response.get(ATTEMPT_HEADER, ""))

    def read(self) -> Result[bytes, Fault]:
        try:
            return Ok(self._response.read_block())
        except Exception as error:
            self.close()
            detail = (
                f"connection lost while reading the answer: {str(error) or type(error).__name__}"
            )
            fault = Fault(
                code=ResultCode.ANSWER_INCOMPLETE, detail=detail, executed=Executed.UNKNOWN
            )
            return Err(fault)

    def close(self) -> None:
        self._response.abort()


def read_response(sock: socket, pool: object, method: str) -> BlockResponse:
    """Read status and headers; the connection returns to the pool after the body is read."""
    return BlockResponse(sock, pool, block_size=BLOCK_SIZE, method=method)
