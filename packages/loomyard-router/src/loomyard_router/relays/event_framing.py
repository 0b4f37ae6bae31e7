"""Framing of server-sent events: an event ends with an empty line."""

from __future__ import annotations

import re

MAX_EVENT_LENGTH = 1 << 20
_EVENT_END = re.compile(rb"\n\r?\n")
# So much of the end of a part may belong to the end of its event.
_PARTIAL_END = 2


class EventFraming:
    """Split bytes that arrive in any parts into complete events, without changing a byte."""

    def __init__(self) -> None:
        self._partial = bytearray()

    @property
    def pending(self) -> bool:
        """Return whether an incomplete event has been received."""
        return bool(self._partial.strip(b"\r\n"))

    @property
    def pending_bytes(self) -> int:
        """Return the size of the incomplete event."""
        return len(self._partial)

    def feed(self, data: bytes) -> list[bytes] | None:
        """Add received bytes; return the events that are complete, ``None`` if one is too long."""
        if not self._partial and 0 <= data.find(b"\n\n") == len(data) - 2 and b"\r" not in data:
            return [data]
        buffer = self._partial
        searched = max(0, len(buffer) - _PARTIAL_END)
        buffer += data
        events = []
        start = 0
        for end in [found.end() for found in _EVENT_END.finditer(buffer, searched)]:
            events.append(bytes(buffer[start:end]))
            start = end
        del buffer[:start]
        return events if len(buffer) <= MAX_EVENT_LENGTH else None

    def reset(self) -> None:
        """Drop an incomplete event."""
        self._partial.clear()
