"""Bounds on what is read of an answer, for peers that send bytes without end."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import gevent
from gevent import socket
from geventhttpclient._parser import HTTPParseError
from geventhttpclient.header import Headers

from loomyard.util.read_buffer import MAX_READ_BYTES

if TYPE_CHECKING:
    from geventhttpclient.connectionpool import ConnectionPool

# Bytes of an answer that are no body: its head, interim answers, sizes and extensions of chunks,
# trailers. Each byte of a body allows some more, as the smallest chunk has five beside its byte.
MAX_FRAMING_BYTES = 1 << 16
FRAMING_BYTES_PER_BODY_BYTE = 16
FIRST_STATUS = 100
FIRST_FINAL_STATUS = 200
CODING_FIELD = "transfer-encoding"
NO_CODING = ("", "identity")
MAX_FIELDS = 256
MAX_INTERIM_ANSWERS = 32
# After so many bytes or so much work without a wait a reading task lets others run.
BYTES_PER_TURN = 1 << 18
SECONDS_PER_TURN = 0.0005
FIRST_READ_BYTES = 1 << 13
MIN_READ_BYTES = 1 << 12
# The longest answer that is read whole into memory.
MAX_WHOLE_ANSWER_BYTES = 8 << 20


class BoundedFraming:
    """Mixin of a response parser that raises ``HTTPParseError`` where too much is no body.

    It also raises where a status is none, or a body has a coding that is not decoded.
    """

    headers_complete: bool
    message_complete: bool
    _body_buffer: bytearray
    _framing_bytes = 0
    _fields = 0
    _messages = 0

    def feed(self, data: str | bytes) -> None:
        """Parse received bytes. Errors: ``HTTPParseError``."""
        known = len(self._body_buffer)
        super().feed(data)  # type: ignore[misc]
        body = len(self._body_buffer) - known
        framing = self._framing_bytes + len(data) - body * (1 + FRAMING_BYTES_PER_BODY_BYTE)
        self._framing_bytes = max(0, framing)
        if framing > MAX_FRAMING_BYTES and not self._is_complete:
            raise HTTPParseError(f"over {MAX_FRAMING_BYTES} bytes that belong to no body")

    @property
    def _is_complete(self) -> bool:
        code = self.get_code()  # type: ignore[attr-defined]
        return self.message_complete and code >= FIRST_FINAL_STATUS

    def _on_message_begin(self) -> None:
        self._messages += 1
        if self._messages > 1 + MAX_INTERIM_ANSWERS:
            raise HTTPParseError(f"over {MAX_INTERIM_ANSWERS} interim answers")
        super()._on_message_begin()  # type: ignore[misc]

    def _on_headers_complete(self) -> int | bool | None:
        code = self.get_code()  # type: ignore[attr-defined]
        if code < FIRST_STATUS:
            # Below 200 an answer counts as interim, and another one is read.
            raise HTTPParseError(f"status {code:03}")
        skips_body = super()._on_headers_complete()  # type: ignore[misc]
        codings = self.get(CODING_FIELD)  # type: ignore[attr-defined]
        if codings is not None and not _are_decoded(codings):
            raise HTTPParseError(f"the body has the coding {codings!r}, which is not decoded")
        return skips_body

    def _on_header_field(self, string: str) -> None:
        # Called once or more for each field of heads and trailers.
        self._fields += 1
        if self._fields > MAX_FIELDS:
            raise HTTPParseError(f"over {MAX_FIELDS} fields")
        if not self.headers_complete:
            super()._on_header_field(string)  # type: ignore[misc]

    def _on_header_value(self, string: str) -> None:
        # What follows the head are trailers, which are no fields of the head.
        if not self.headers_complete:
            super()._on_header_value(string)  # type: ignore[misc]


def _are_decoded(codings: str | list[str]) -> bool:
    """Tell whether the parser decodes a body with the values of these fields."""
    values = codings if isinstance(codings, list) else [codings]
    # The parser decodes chunks where they are the last coding, whatever others there are.
    *first, last = [value.strip(" ").lower() for value in ",".join(values).split(",")]
    return last in ("chunked", *NO_CODING) and all(value in NO_CODING for value in first)


class BoundedHeaders(Headers):
    """The fields of an answer that is read by an ``HTTPClient``."""

    def add(self, key: str, value: Any) -> None:
        if len(self) >= MAX_FIELDS:
            raise HTTPParseError(f"over {MAX_FIELDS} fields")
        super().add(key, value)


class ReadPacer:
    """Let other tasks run while one reads from a peer that always has more.

    A read of a socket that has bytes does not wait, so the event loop would not get its turn.
    ``read_bytes`` is how much to read next: less where the bytes take long to parse.
    """

    def __init__(self) -> None:
        self.read_bytes = FIRST_READ_BYTES
        self._bytes = 0
        self._seconds = 0.0

    def record(self, size: int, seconds: float) -> None:
        """Record a read and its processing; wait for a turn of the event loop if it is due."""
        self._bytes += size
        self._seconds += seconds
        if seconds > SECONDS_PER_TURN:
            self.read_bytes = MIN_READ_BYTES
        elif seconds < SECONDS_PER_TURN / 4:
            self.read_bytes = min(MAX_READ_BYTES, 2 * self.read_bytes)
        if self._bytes >= BYTES_PER_TURN or self._seconds >= SECONDS_PER_TURN:
            self._bytes = 0
            self._seconds = 0.0
            gevent.sleep(0)


class AnswerTooLargeError(OSError):
    """An answer that is read whole has more bytes than that allows."""


class BoundedSocket(socket.socket):
    """A socket that reads at most ``MAX_WHOLE_ANSWER_BYTES`` after what it sent last."""

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self._received = 0
        self._pacer = ReadPacer()

    def sendall(self, *arguments: Any, **options: Any) -> Any:
        self._received = 0
        return super().sendall(*arguments, **options)

    def recv(self, *arguments: Any) -> bytes:
        data = super().recv(*arguments)
        self._received += len(data)
        if self._received > MAX_WHOLE_ANSWER_BYTES:
            raise AnswerTooLargeError(f"the answer is over {MAX_WHOLE_ANSWER_BYTES} bytes")
        self._pacer.record(len(data), 0.0)
        return data


def bound_answers(pool: ConnectionPool) -> None:
    """Let a pool open connections that bound each answer, as all are read whole."""

    def create_socket(family: int, kind: int, protocol: int) -> socket.socket:
        return BoundedSocket(family, kind, protocol)

    pool._create_tcp_socket = create_socket  # type: ignore[method-assign,assignment]
