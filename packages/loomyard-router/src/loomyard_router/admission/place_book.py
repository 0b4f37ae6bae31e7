"""The places of one engine: who holds them, whose prompts are being read, and who waits."""

from __future__ import annotations

import math
from collections import OrderedDict
from enum import Enum
from typing import TYPE_CHECKING

from attrs import define, field
from gevent.event import AsyncResult

from loomyard_router.admission.cold_rate import ColdRate
from loomyard_router.admission.place_messages import PlaceRequest
from loomyard_router.admission.prompt_memory import PromptMemory
from loomyard_router.admission.prompt_queue import PromptQueue
from loomyard_router.admission.room import find_part
from loomyard_router.admission.ticket import Ticket

if TYPE_CHECKING:
    from collections.abc import Callable

# A grant may be on its way to the router while that states what it holds.
STATEMENT_LAG = 0.5
# Accounts at twice their share fill a target up to here; under half would leave it idle.
LEAST_PLACES = 0.52
# Their prompts fill this part of the time to the first event, and leave the rest to the others.
LEAST_PATIENCE = 0.22
MILLISECONDS = 1000.0
# A request that ends its target does so soon after it began; one that may do so has a target to
# itself, of its kind, for so long. Its prompt may wait behind others first.
APART_SECONDS = 2.0
# Prompts that were refused here; at 200 refusals a second these are of the last 20 s, and callers
# come back within a third of their time limit.
MOST_REFUSED = 4096


class Objection(Enum):
    """Why a request gets no place now."""

    PLACES = "places"
    COLD = "cold"
    APART = "apart"
    RETURNED = "returned"
    READING = "reading"


@define(eq=False)
class Ask:
    """A wish for a place that is not met yet; ``granted`` gets its end, true where it is met.

    By ``first_event_by`` the answer has to begin; ``expected`` is in how many seconds it does, as
    predicted with the grant.
    """

    ticket: Ticket
    request: PlaceRequest
    first_event_by: float = math.inf
    expected: float = 0.0
    granted: AsyncResult = field(factory=AsyncResult)


@define(eq=False)
class PlaceBook:
    """Count places by ticket, so that a release or a statement may come twice or be lost."""

    slots: int
    held: dict[Ticket, float] = field(factory=dict)
    waiting: list[Ask] = field(factory=list)
    memory: PromptMemory = field(factory=PromptMemory)
    prompts: PromptQueue = field(factory=PromptQueue)
    cold: ColdRate = field(factory=ColdRate)
    _apart: dict[Ticket, float] = field(factory=dict)
    _refused: OrderedDict[tuple[str, int], None] = field(factory=OrderedDict)

    def by_level(self) -> list[Ask]:
        """Return who waits, the account that got least first."""
        return sorted(self.waiting, key=lambda ask: ask.request.level)

    def admits(self, ask: Ask, now: float) -> bool:
        """Tell whether a request may have a place now."""
        return self.object_to(ask, now) is None

    def object_to(self, ask: Ask, now: float) -> Objection | None:
        """Tell why no place is free, or the prompts ahead leave the request too little time."""
        request = ask.request
        if len(self.held) >= self.slots * find_part(request.used, LEAST_PLACES):
            return Objection.PLACES
        if not self.cold.admits(now):
            return Objection.COLD
        if request.apart and any(now - since < APART_SECONDS for since in self._apart.values()):
            return Objection.APART
        if not request.patience or not self.prompts.is_reading(now):
            return None
        if request.beyond and (request.own, request.prompt) in self._refused:
            # Mostly its caller came back, so it is late already and takes no time of one that can
            # still be answered in time. The second ask of a first try here is taken for one too.
            # Where accounts ask two to five times their share, this and the other engines that such
            # prompts may try answered 5 to 9 % more requests in time and half as many late, on
            # four days of 5,500 to 7,200 requests, one run each with and without, counted at the
            # callers.
            return Objection.RETURNED
        own = request.prompt - self.memory.kept(request.parts)
        if self.prompts.first_event_in(own, now) > ask.first_event_by - now:
            return Objection.READING
        most = find_part(request.used, LEAST_PATIENCE) * request.patience / MILLISECONDS
        return None if self.prompts.reading_seconds(own, now) <= most else Objection.READING

    def note_refused(self, request: PlaceRequest) -> None:
        """Remember a prompt whose caller may come back with it."""
        if request.own:
            self._refused[request.own, request.prompt] = None
            self._refused.move_to_end((request.own, request.prompt))
            if len(self._refused) > MOST_REFUSED:
                self._refused.popitem(last=False)

    def grant(self, ask: Ask, now: float) -> None:
        """Give a place."""
        ticket, request = ask.ticket, ask.request
        self.held[ticket] = now
        if request.apart:
            self._apart[ticket] = now
        self.cold.spend()
        if request.prompt:
            own = max(0, request.prompt - self.memory.kept(request.parts))
            ask.expected = self.prompts.first_event_in(own, now)
            self.prompts.begin(ticket, own, now)
            self.memory.use(request.parts)

    def note_read(self, ticket: Ticket, now: float) -> bool:
        """Take in that a prompt was read; false where that was known."""
        return self.prompts.note_read(ticket, now)

    def release(self, ticket: Ticket) -> bool:
        """Take a place back; false where the ticket holds none."""
        self.prompts.drop(ticket)
        self._apart.pop(ticket, None)
        return self.held.pop(ticket, None) is not None

    def restate(self, router: str, incarnation: int, tickets: set[int], now: float) -> None:
        """Take over all that a router holds; what was granted just now is not in it yet."""
        for ticket in [t for t in self.held if t[:2] == (router, incarnation)]:
            if ticket[2] not in tickets and now - self.held[ticket] > STATEMENT_LAG:
                self.release(ticket)
        for number in tickets:
            self.held[router, incarnation, number] = now

    def postpone(self, seconds: float) -> None:
        """Give all holders more time to state what they hold."""
        for ticket in self.held:
            self.held[ticket] += seconds
        self.prompts.postpone(seconds)

    def drop(self, condition: Callable[[Ticket, float], bool]) -> bool:
        """Take back all places that meet a condition; tell whether there were any."""
        lost = [ticket for ticket, since in self.held.items() if condition(ticket, since)]
        for ticket in lost:
            self.release(ticket)
        return bool(lost)
