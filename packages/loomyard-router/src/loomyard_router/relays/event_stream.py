"""Server-sent events as bytes: whole ones only, none parsed on the way."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from loomyard_router.relays.usage import find_usage

if TYPE_CHECKING:
    from loomyard_router.relays.usage import Usage

LINE_FEED_END = b"\n\n"
CARRIAGE_RETURN_END = b"\r\n\r\n"
TAIL_LENGTH = 4096
DONE_LENGTH = 64
MAX_EVENT_LENGTH = 1 << 20
_DONE = re.compile(rb"data: ?\[DONE\]\s*\Z")
_FIRST_ID = re.compile(rb"(?:\A|\n)id: ?(\d{1,18})\r?\n")
_ID_LINE = re.compile(rb"id: ?(\d{1,18})\r?\n")
_USAGE_OBJECT = re.compile(rb'"usage":\s*\{')
_NO_CHOICES = re.compile(rb'"choices":\s*\[\s*\]')


class EventStream:
    """Cut a stream into blocks of whole events and keep count.

    ``last_id`` is the number of the last whole event as its ``id:`` line gives it, -1 before the
    first; ``events`` counts them. ``done`` is set once the final event has passed.
    """

    def __init__(self, *, drop_usage: bool = False, after: int = -1) -> None:
        self.events = 0
        self.last_id = after
        self.done = False
        self._drop_usage = drop_usage
        self._end = b""
        self._rest = b""
        self._tail = b""
        self._resumed = after >= 0

    @property
    def usage(self) -> Usage | None:
        return find_usage(self._tail)

    def feed(self, data: bytes) -> bytes | None:
        """Return the whole events so far; ``None`` where the stream can't be what it should."""
        rest = self._rest + data if self._rest else data
        end = self._end or self._find_end(rest)
        cut = rest.rfind(end) if end else -1
        if cut < 0:
            self._rest = rest
            return b"" if len(rest) <= MAX_EVENT_LENGTH else None
        cut += len(end)
        whole, self._rest = rest[:cut], rest[cut:]
        if self._resumed:
            trimmed = self._join(whole)
            if trimmed is None:
                return None
            whole = trimmed
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
        self._tail = (self._tail + whole[-TAIL_LENGTH:])[-TAIL_LENGTH:]
        self._note_last_id(whole)
        self.done = _DONE.search(whole[-DONE_LENGTH:]) is not None
        if self._drop_usage and _USAGE_OBJECT.search(whole):
            return _without_usage(whole, end)
        return whole

    def _note_last_id(self, whole: bytes) -> None:
        at = whole.rfind(b"\nid:") + 1
        if at == 0 and not whole.startswith(b"id:"):
            return
        if found := _ID_LINE.match(whole, at):
            self.last_id = int(found[1])

    def _join(self, whole: bytes) -> bytes | None:
        """Drop events that came before; ``None`` where some are missing."""
        for found in _FIRST_ID.finditer(whole):
            number = int(found[1])
            if number <= self.last_id:
                continue
            self._resumed = False
            if number > self.last_id + 1:
                return None
            return whole[found.start() + (1 if found[0].startswith(b"\n") else 0) :]
        return b""


def _without_usage(whole: bytes, end: bytes) -> bytes:
    events = whole.split(end)
    kept = [e for e in events if not (_USAGE_OBJECT.search(e) and _NO_CHOICES.search(e))]
    return end.join(kept)
