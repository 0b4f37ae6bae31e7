"""Reading from sockets by way of one buffer for the whole process."""

from __future__ import annotations

from typing import Protocol

MAX_READ_BYTES = 1 << 16

_buffer = bytearray(MAX_READ_BYTES)
_view = memoryview(_buffer)


class Readable(Protocol):
    """A socket."""

    def recv_into(self, buffer: bytearray, nbytes: int, flags: int, /) -> int:
        """Read into a buffer; return the number of bytes."""


def receive(sock: Readable, size: int, flags: int = 0) -> bytes:
    """Return up to ``size`` bytes of a socket, ``MAX_READ_BYTES`` at most.

    Memory is taken for the bytes that came, where ``recv`` takes as much as may come. No other task
    runs between the read and the copy.
    """
    count = sock.recv_into(_buffer, min(size, MAX_READ_BYTES), flags)
    return bytes(_view[:count])
