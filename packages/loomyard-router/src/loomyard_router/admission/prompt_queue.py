"""The prompts that one target has been sent and did not answer yet."""

from __future__ import annotations

import math

from attrs import define, field, frozen

from loomyard_router.admission.first_event_model import FirstEventModel
from loomyard_router.admission.ticket import Ticket


@frozen
class _Reading:
    """A prompt that is being read: its unread tokens, those ahead of it, and since when."""

    tokens: float
    ahead: float
    since: float


@define(eq=False)
class PromptQueue:
    """Predict when a prompt that is sent now would get its first event.

    Targets read prompts in the order in which they are sent. One whose oldest prompt is overdue is
    slow just now, whatever its earlier answers say. A prompt is passed once a later one was
    answered, or once it is overdue for longer than an answer may be believed to take: its answer is
    lost or still on its way, and holds nothing up.
    """

    model: FirstEventModel = field(factory=FirstEventModel)
    _reading: dict[Ticket, _Reading] = field(factory=dict)
    _passed: dict[Ticket, _Reading] = field(factory=dict)
    _tokens: float = 0.0
    _read_at: float = -math.inf

    def is_reading(self, now: float) -> bool:
        """Tell whether prompts are ahead of one that is sent now."""
        self._pass_lost(now)
        return bool(self._reading)

    def unread(self, now: float) -> float:
        """Return the tokens still to be read."""
        self._pass_lost(now)
        if not self._reading:
            return 0.0
        oldest = next(iter(self._reading.values()))
        spent = now - max(oldest.since, self._read_at)
        read = min(oldest.tokens, spent * self.model.pace(now).tokens_per_second)
        return max(0.0, self._tokens - read)

    def first_event_in(self, tokens: float, now: float) -> float:
        """Return the seconds to the first event of a prompt with some unread tokens."""
        seconds = self.model.pace(now).seconds(self.unread(now) + tokens)
        return seconds + self._overdue(now)

    def reading_seconds(self, tokens: float, now: float) -> float:
        """Return the seconds to read what is unread and some tokens more."""
        return (self.unread(now) + tokens) / self.model.pace(now).tokens_per_second

    def begin(self, ticket: Ticket, tokens: float, now: float) -> None:
        """Take in that a prompt with some unread tokens is sent."""
        self._reading[ticket] = _Reading(tokens, self.unread(now), now)
        self._tokens += tokens

    def note_read(self, ticket: Ticket, now: float) -> bool:
        """Take in that a prompt was read; false where that was known."""
        reading = self._passed.pop(ticket, None)
        if reading is None and ticket in self._reading:
            while reading is None:
                oldest = next(iter(self._reading))
                passed = self._remove(oldest)
                if oldest == ticket:
                    reading = passed
                elif passed is not None:
                    self._passed[oldest] = passed
        if reading is None:
            return False
        self._read_at = now
        self.model.note(reading.ahead + reading.tokens, now - reading.since, now)
        return True

    def drop(self, ticket: Ticket) -> None:
        """Take in that a request ended, read or not."""
        self._passed.pop(ticket, None)
        self._remove(ticket)

    def postpone(self, seconds: float) -> None:
        """Leave out a time in which nothing was heard here."""
        for prompts in (self._reading, self._passed):
            for ticket, one in prompts.items():
                prompts[ticket] = _Reading(one.tokens, one.ahead, one.since + seconds)

    def _remove(self, ticket: Ticket) -> _Reading | None:
        reading = self._reading.pop(ticket, None)
        if reading is not None:
            self._tokens = self._tokens - reading.tokens if self._reading else 0.0
        return reading

    def _pass_lost(self, now: float) -> None:
        """Pass prompts whose answers take longer than may be believed."""
        while self._reading:
            ticket, oldest = next(iter(self._reading.items()))
            most = self.model.most_believable(oldest.ahead + oldest.tokens, now)
            if now - oldest.since <= most:
                return
            self._remove(ticket)
            self._passed[ticket] = oldest

    def _overdue(self, now: float) -> float:
        """Return how much longer than predicted the oldest prompt has been read."""
        if not self._reading:
            return 0.0
        oldest = next(iter(self._reading.values()))
        due = oldest.since + self.model.pace(now).seconds(oldest.ahead + oldest.tokens)
        return max(0.0, now - due)
