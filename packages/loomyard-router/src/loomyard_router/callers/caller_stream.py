"""The bytes of a caller's connection, bounded for each request."""

from __future__ import annotations

import io
import math
from typing import TYPE_CHECKING

from loomyard.util.answer_bounds import ReadPacer

if TYPE_CHECKING:
    from gevent.socket import socket

# Bytes of a request beside its head and body: one chunk for each byte of the body has five more.
FRAMING_FACTOR = 8


class CallerStream(io.RawIOBase):
    """Read a connection; a request over its limit ends with ``OSError``."""

    def __init__(self, sock: socket) -> None:
        super().__init__()
        self._socket = sock
        self._left: float = math.inf
        self._pacer = ReadPacer()

    def readable(self) -> bool:
        return True

    def begin_request(self, *, head_bytes: int, body_bytes: int) -> None:
        """Allow as much as a request with such a head and body may have on the wire."""
        self._left = head_bytes + FRAMING_FACTOR * body_bytes + io.DEFAULT_BUFFER_SIZE

    def readinto(self, buffer: memoryview) -> int:  # type: ignore[override]
        if self._left <= 0:
            raise OSError("the request is longer than its limits allow")
        size = self._socket.recv_into(buffer)
        self._left -= size
        self._pacer.record(size, 0.0)
        return size
