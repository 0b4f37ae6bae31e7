"""Journal of the steps of recent requests, for operators."""

from __future__ import annotations

from collections import OrderedDict
from enum import Enum
from typing import TYPE_CHECKING

from attrs import frozen

from loomyard_router.requests.stream_token import SEPARATOR

if TYPE_CHECKING:
    from loomyard.clock import Clock

REMEMBERED_REQUESTS = 4096
ENTRIES_PER_REQUEST = 32


class Step(Enum):
    """Kinds of steps in the journal of a request."""

    RECEIVED = "received"
    QUEUED = "queued"
    ADMITTED = "admitted"
    CLAIMED = "claimed"
    SENT = "sent"
    FAILED = "failed"
    RETRIED = "retried"
    RESUMED = "resumed"
    REFUSED = "refused"
    ANSWERED = "answered"
    CANCELLED = "cancelled"


@frozen
class JournalEntry:
    """A step, its wall-clock time in seconds, and a detail such as the reason."""

    at: float
    step: Step
    detail: str


class Journal:
    """Steps of the last ``REMEMBERED_REQUESTS`` requests of this router."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._entries: OrderedDict[str, list[JournalEntry]] = OrderedDict()

    def record(self, request_id: str, step: Step, detail: str = "") -> None:
        """Add a step of a request."""
        entries = self._entries.setdefault(request_id, [])
        if len(entries) < ENTRIES_PER_REQUEST:
            entries.append(JournalEntry(self._clock.wall(), step, detail))
        while len(self._entries) > REMEMBERED_REQUESTS:
            self._entries.popitem(last=False)

    def explain(self, request_id: str) -> tuple[JournalEntry, ...]:
        """Return the steps of a request; empty where it is unknown.

        The id may carry the token of a stream.
        """
        return tuple(self._entries.get(request_id.partition(SEPARATOR)[0], ()))
