"""The position of a caller in a stream, by which a resumed stream goes on without gap or repeat."""

from __future__ import annotations

from enum import Enum

from loomyard_router.relays.event_fields import has_data, read_id


class Verdict(Enum):
    """What an event is to the caller."""

    NEW = "new"
    REPEATED = "repeated"
    # Events before it are missing, or it differs from the one that the caller has in its place.
    MISMATCH = "mismatch"


class StreamPosition:
    """The last numbered event that the caller has, and how many without a number follow it.

    ``events`` counts the new ones. A resumed stream goes on after the numbered one and may repeat
    events. What has neither a number nor data is a comment and may come at any place.

    Numbers rise. Where they are ``consecutive``, events without one use up a number each, and a gap
    shows that events are missing. Where they are not, a number says nothing of how many events or
    tokens lie before it, and another target may group them otherwise.
    """

    def __init__(self, *, after: int, consecutive: bool) -> None:
        self.last_id = after
        self._consecutive = consecutive
        self.events = 0
        self._after_last: list[int] = []
        self._has_unnumbered = False
        self._has_gaps = False
        self._was_resumed = self._is_resuming = after >= 0
        # In a resumed stream: the last number seen, and how many events after ``last_id``.
        self._seen_id: int | None = None
        self._seen_after_last = 0

    @property
    def is_resumable(self) -> bool:
        """Return whether a stream can go on here: an id names the position, or it is the start."""
        return self.last_id >= 0 or not self._has_unnumbered

    def restart(self) -> None:
        """Expect a resumed stream, which begins after ``last_id`` or before."""
        self._was_resumed = self._is_resuming = self.last_id >= 0
        self._seen_id = None
        self._seen_after_last = 0

    def admit(self, event: bytes) -> Verdict:
        """Judge the next complete event, and move on if it is new."""
        number = read_id(event)
        if number is not None:
            return self._admit_numbered(number)
        if not has_data(event):
            return Verdict.NEW
        return self._admit_unnumbered(event)

    def _admit_numbered(self, number: int) -> Verdict:
        if self._was_resumed and number <= self.last_id:
            self._seen_id = number
            self._seen_after_last = 0
            return Verdict.REPEATED
        if self._is_resuming and self._straddles_last:
            return Verdict.MISMATCH
        # Events without an id may have used up a number each.
        if self._consecutive and 0 <= self.last_id < number - 1 - len(self._after_last):
            if self._is_resuming and not self._has_gaps:
                return Verdict.MISMATCH
            self._has_gaps = True
        self._is_resuming = False
        self.last_id = number
        self.events += 1
        if self._after_last:
            self._after_last.clear()
        return Verdict.NEW

    @property
    def _straddles_last(self) -> bool:
        """Tell whether a run repeated events without the last one that the caller has.

        Its next event then holds a part that the caller has, or lacks one that the caller needs.
        """
        return self._seen_id is not None and self._seen_id < self.last_id

    def _admit_unnumbered(self, event: bytes) -> Verdict:
        if self._is_resuming:
            if self._straddles_last:
                return Verdict.REPEATED
            if self._seen_after_last < len(self._after_last):
                known = self._after_last[self._seen_after_last]
                self._seen_after_last += 1
                return Verdict.REPEATED if _digest(event) == known else Verdict.MISMATCH
            self._is_resuming = False
        self._has_unnumbered = True
        self.events += 1
        if self.last_id >= 0:
            self._after_last.append(_digest(event))
        return Verdict.NEW


def _digest(event: bytes) -> int:
    """Return a hash of an event that does not depend on how its lines end."""
    return hash(event.replace(b"\r\n", b"\n").strip(b"\n"))
