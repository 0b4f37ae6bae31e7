"""Server-sent events as bytes: whole ones only, none parsed on the way."""

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
KEPT_TAILS = 4
DONE = b"[DONE]"
USAGE = b'"usage"'
MAX_EVENT_LENGTH = 1 << 20
_FIRST_ID = re.compile(rb"(?:\A|\n)id: ?(\d{1,18})\r?\n")
_ID_LINE = re.compile(rb"id: ?(\d{1,18})\r?\n")
_USAGE_OBJECT = re.compile(rb'"usage":\s*\{')
_NO_CHOICES = re.compile(rb'"choices":\s*\[\s*\]')


class EventStream:
    """Cut a stream into blocks of whole events and keep count.

    ``events`` counts those that passed; ``done`` is set once the final one has.
    """

    def __init__(self, *, drop_usage: bool = False, after: int = -1) -> None:
        self.events = 0
        self.done = False
        self._drop_usage = drop_usage
        self._after = after
        self._end = b""
        self._rest = b""
        self._tails: deque[bytes] = deque(maxlen=KEPT_TAILS)
        self._resumed = after >= 0

    @property
    def pending(self) -> bool:
        """Tell whether a part of an event has come."""
        return bool(self._rest)

    @property
    def usage(self) -> Usage | None:
        return find_usage(b"".join(self._tails))

    @property
    def last_id(self) -> int:
        """Return the number of the last whole event by its ``id:`` line; -1 before the first."""
        for tail in reversed(self._tails):
            at = tail.rfind(b"\nid:") + 1
            if found := _ID_LINE.match(tail, at):
                return int(found[1])
        return self._after + self.events

    def feed(self, data: bytes) -> bytes | None:
        """Return the whole events so far; ``None`` where the stream can't be what it should."""
        rest = self._rest + data if self._rest else data
        end = self._end or self._find_end(rest)
        if end and rest.endswith(end):
            whole, self._rest = rest, b""
        else:
            cut = rest.rfind(end) + len(end) if end and end in rest else 0
            whole, self._rest = rest[:cut], rest[cut:]
            if not whole:
                return b"" if len(rest) <= MAX_EVENT_LENGTH else None
        if self._resumed:
            joined = self._join(whole)
            if not joined:
                return joined
            whole = joined
        return self._pass(whole, end)

    def restart(self) -> None:
        """Drop half an event, as the rest of the stream comes over another answer."""
        self._rest = b""
        self._resumed = self.last_id >= 0

    def _find_end(self, data: bytes) -> bytes:
        for end in (CARRIAGE_RETURN_END, LINE_FEED_END):
            if end in data:
                self._end = end
                return end
        return b""

    def _pass(self, whole: bytes, end: bytes) -> bytes:
        self.events += whole.count(end)
        self._tails.append(whole[-TAIL_LENGTH:])
        if whole.endswith(DONE + end):
            self.done = True
        if self._drop_usage and USAGE in whole and _USAGE_OBJECT.search(whole):
            return _without_usage(whole, end)
        return whole

    def _join(self, whole: bytes) -> bytes | None:
        """Drop events that came before; ``None`` where some are missing."""
        last_id = self.last_id
        for found in _FIRST_ID.finditer(whole):
            number = int(found[1])
            if number <= last_id:
                continue
            self._resumed = False
            if number > last_id + 1:
                return None
            return whole[found.start() + (1 if found[0].startswith(b"\n") else 0) :]
        return b""


def _without_usage(whole: bytes, end: bytes) -> bytes:
    events = whole.split(end)
    kept = [e for e in events if not (_USAGE_OBJECT.search(e) and _NO_CHOICES.search(e))]
    return end.join(kept)
