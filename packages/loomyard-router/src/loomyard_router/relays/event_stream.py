"""Framing of server-sent events: forwards complete events as bytes, without parsing them."""

from __future__ import annotations

import re
from collections import deque
from typing import TYPE_CHECKING

from loomyard_router.relays.usage import find_usage

if TYPE_CHECKING:
    from loomyard_router.relays.usage import Usage

LINE_FEED_END = b"\n\n"
CARRIAGE_RETURN_END = b"\r\n\r\n"
TAIL_LENGTH = 4096
MAX_TAILS = 4
DONE = b"[DONE]"
USAGE = b'"usage"'
MAX_EVENT_LENGTH = 1 << 20
_FIRST_ID = re.compile(rb"(?:\A|\n)id: ?(\d{1,18})\r?\n")
_ID_LINE = re.compile(rb"id: ?(\d{1,18})\r?\n")
_USAGE_OBJECT = re.compile(rb'"usage":\s*\{')
_NO_CHOICES = re.compile(rb'"choices":\s*\[\s*\]')


class EventStream:
    """Splits a stream into blocks of complete events.

    ``events`` counts the forwarded ones; ``done`` is set after the final one. ``after`` is the
    number of the last event that the caller has, -1 for none: a resumed stream may repeat events
    up to it. ``drop_usage`` removes usage events that the caller did not request.
    """

    def __init__(self, *, drop_usage: bool = False, after: int = -1) -> None:
        self.events = 0
        self.done = False
        self._drop_usage = drop_usage
        self._after = after
        self._delimiter = b""
        self._partial = b""
        self._tails: deque[bytes] = deque(maxlen=MAX_TAILS)
        self._resumed = after >= 0

    @property
    def pending(self) -> bool:
        """Return whether an incomplete event has been received."""
        return bool(self._partial)

    @property
    def usage(self) -> Usage | None:
        """Return the last usage in the retained end of the stream."""
        return find_usage(b"".join(self._tails))

    @property
    def last_id(self) -> int:
        """Return the number of the last complete event by its ``id:`` line; -1 before the first."""
        for tail in reversed(self._tails):
            at = tail.rfind(b"\nid:") + 1
            if found := _ID_LINE.match(tail, at):
                return int(found[1])
        return self._after + self.events

    def feed(self, data: bytes) -> bytes | None:
        """Add received bytes; return the complete events that are now available.

        Returns ``None`` if an event is too long, or if events are missing after a resumption.
        """
        buffer = self._partial + data if self._partial else data
        delimiter = self._delimiter or self._find_delimiter(buffer)
        if delimiter and buffer.endswith(delimiter):
            complete, self._partial = buffer, b""
        else:
            cut = (
                buffer.rfind(delimiter) + len(delimiter) if delimiter and delimiter in buffer else 0
            )
            complete, self._partial = buffer[:cut], buffer[cut:]
            if not complete:
                return b"" if len(buffer) <= MAX_EVENT_LENGTH else None
        if self._resumed:
            unseen = self._skip_repeated(complete)
            if not unseen:
                return unseen
            complete = unseen
        return self._count_and_filter(complete, delimiter)

    def restart(self) -> None:
        """Drop an incomplete event before the stream continues with another answer."""
        self._partial = b""
        self._resumed = self.last_id >= 0

    def _find_delimiter(self, data: bytes) -> bytes:
        for delimiter in (CARRIAGE_RETURN_END, LINE_FEED_END):
            if delimiter in data:
                self._delimiter = delimiter
                return delimiter
        return b""

    def _count_and_filter(self, data: bytes, delimiter: bytes) -> bytes:
        self.events += data.count(delimiter)
        self._tails.append(data[-TAIL_LENGTH:])
        if data.endswith(DONE + delimiter):
            self.done = True
        if self._drop_usage and USAGE in data and _USAGE_OBJECT.search(data):
            return _without_usage(data, delimiter)
        return data

    def _skip_repeated(self, data: bytes) -> bytes | None:
        """Drop events that were forwarded before; return ``None`` if some are missing."""
        last_id = self.last_id
        for found in _FIRST_ID.finditer(data):
            number = int(found[1])
            if number <= last_id:
                continue
            self._resumed = False
            if number > last_id + 1:
                return None
            return data[found.start() + (1 if found[0].startswith(b"\n") else 0) :]
        return b""


def _without_usage(data: bytes, delimiter: bytes) -> bytes:
    events = data.split(delimiter)
    kept = [e for e in events if not (_USAGE_OBJECT.search(e) and _NO_CHOICES.search(e))]
    return delimiter.join(kept)
