"""A stream of server-sent events on its way to a caller, across resumptions."""

from __future__ import annotations

import re
from collections import deque
from typing import TYPE_CHECKING

from loomyard_router.relays.event_fields import is_done
from loomyard_router.relays.event_framing import EventFraming
from loomyard_router.relays.stream_position import StreamPosition, Verdict
from loomyard_router.relays.usage import find_usage

if TYPE_CHECKING:
    from loomyard_router.relays.usage import Usage

TAIL_LENGTH = 4096
MAX_TAILS = 4
DONE = b"[DONE]"
USAGE = b'"usage"'
_USAGE_OBJECT = re.compile(rb'"usage":\s*\{')
_NO_CHOICES = re.compile(rb'"choices":\s*\[\s*\]')


class EventStream:
    """Splits a stream into blocks of complete events.

    ``done`` is set after the final one. ``after`` is the
    number of the last event that the caller has, -1 for none: a resumed stream may repeat events
    up to it. ``drop_usage`` removes usage events that the caller did not request.
    ``consecutive_ids`` tells that the target numbers its events one by one.
    """

    def __init__(
        self, *, drop_usage: bool = False, after: int = -1, consecutive_ids: bool = True
    ) -> None:
        self.done = False
        self._drop_usage = drop_usage
        self._after = after
        self._framing = EventFraming()
        self._position = StreamPosition(after=after, consecutive=consecutive_ids)
        self._tails: deque[bytes] = deque(maxlen=MAX_TAILS)

    @property
    def pending(self) -> bool:
        """Return whether an incomplete event has been received."""
        return self._framing.pending

    @property
    def pending_bytes(self) -> int:
        """Return the size of the incomplete event."""
        return self._framing.pending_bytes

    @property
    def events(self) -> int:
        """Return how many events were forwarded, without comments."""
        return self._position.events

    @property
    def usage(self) -> Usage | None:
        """Return the last usage in the retained end of the stream."""
        return find_usage(b"".join(self._tails))

    @property
    def last_id(self) -> int:
        """Return the number of the last complete event; -1 before the first.

        It is the one in the last ``id`` field, or the count of events where none has an id.
        """
        return self.known_id if self.known_id >= 0 else self._after + self.events

    @property
    def known_id(self) -> int:
        """Return the number in the last ``id`` field, or ``after`` before the first."""
        return self._position.last_id

    @property
    def is_resumable(self) -> bool:
        """Return whether an id tells where to resume, or nothing was forwarded yet."""
        return self._position.is_resumable

    def feed(self, data: bytes) -> bytes | None:
        """Add received bytes; return the complete events that are now available.

        Returns ``None`` if an event is too long, or if a resumed stream does not fit to what the
        caller has.
        """
        events = self._framing.feed(data)
        if events is None:
            return None
        new = []
        for event in events:
            verdict = self._position.admit(event)
            if verdict is Verdict.NEW:
                new.append(event)
            elif verdict is Verdict.MISMATCH:
                return None
        return self._forward(new)

    def restart(self) -> None:
        """Drop an incomplete event before the stream continues with another answer."""
        self._framing.reset()
        self._position.restart()

    def _forward(self, events: list[bytes]) -> bytes:
        if not events:
            return b""
        block = events[0] if len(events) == 1 else b"".join(events)
        self._tails.append(block[-TAIL_LENGTH:])
        if DONE in block and is_done(events[-1]):
            self.done = True
        if self._drop_usage and USAGE in block and _USAGE_OBJECT.search(block):
            return b"".join(event for event in events if not _is_usage_only(event))
        return block


def _is_usage_only(event: bytes) -> bool:
    return bool(_USAGE_OBJECT.search(event) and _NO_CHOICES.search(event))
