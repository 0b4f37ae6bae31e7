"""An answer of a target over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING

from geventhttpclient.response import HTTPConnectionClosed, HTTPSocketPoolResponse
from result import Err, Ok, Result

from loomyard.errors import Executed, Fault, ResultCode

if TYPE_CHECKING:
    from gevent.socket import socket

ATTEMPT_HEADER = "Loomyard-Attempt"
BLOCK_SIZE = 65536


class BlockResponse(HTTPSocketPoolResponse):
    """A response whose body is read in blocks, as much as is there."""

    def read_block(self) -> bytes:
        """Return what has arrived, waiting for the first byte; empty at the end of the body."""
        buffer = self._body_buffer
        while not buffer and not self.message_complete:
            sock = self._sock
            if sock is None:
                raise HTTPConnectionClosed("connection closed")
            self.feed(sock.recv(BLOCK_SIZE))
        block = bytes(buffer)
        buffer.clear()
        return block

    def set_timeout(self, seconds: float) -> None:
        """Bound each wait for bytes."""
        if self._sock is not None:
            self._sock.settimeout(seconds)

    def abort(self) -> None:
        """Close the connection unless the whole answer was read."""
        pool, sock = self._pool, self._sock
        self._sock = self._pool = None
        if pool is not None and sock is not None:
            pool.release_socket(sock)


class HttpAnswer:
    """An answer over HTTP."""

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
            detail = f"the answer broke off: {str(error) or type(error).__name__}"
            fault = Fault(
                code=ResultCode.ANSWER_INCOMPLETE, detail=detail, executed=Executed.UNKNOWN
            )
            return Err(fault)

    def close(self) -> None:
        self._response.abort()


def read_response(sock: socket, pool: object, method: str) -> BlockResponse:
    """Read status and headers; the connection goes back to the pool after the body."""
    return BlockResponse(sock, pool, block_size=BLOCK_SIZE, method=method)  # type: ignore[arg-type]
