"""The places of one target: who holds them and who waits for one."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field
from gevent.event import AsyncResult

if TYPE_CHECKING:
    from collections.abc import Callable

# Holder of a place: router, incarnation of it, ticket.
Ticket = tuple[str, int, int]


@define(eq=False)
class Ask:
    """A wish for a place that is not met yet; ``granted`` tells its end."""

    ticket: Ticket
    account: str
    cost: float
    granted: AsyncResult = field(factory=AsyncResult)


@define(eq=False)
class PlaceBook:
    """Count places by ticket, so that a release or a statement may come twice or be lost."""

    slots: int
    held: dict[Ticket, float] = field(factory=dict)
    waiting: list[Ask] = field(factory=list)

    @property
    def full(self) -> bool:
        return len(self.held) >= self.slots

    def grant(self, ticket: Ticket, now: float) -> None:
        """Give a place."""
        self.held[ticket] = now

    def release(self, ticket: Ticket) -> bool:
        """Take a place back; false where the ticket holds none."""
        return self.held.pop(ticket, None) is not None

    def restate(self, router: str, incarnation: int, tickets: set[int], now: float) -> None:
        """Take over all that a router holds; what was granted just now is not in it yet."""
        for ticket in [t for t in self.held if t[:2] == (router, incarnation)]:
            if ticket[2] not in tickets and now - self.held[ticket] > STATEMENT_LAG:
                del self.held[ticket]
        for number in tickets:
            self.held[router, incarnation, number] = now

    def drop(self, condition: Callable[[Ticket, float], bool]) -> bool:
        """Take back all places that meet a condition; tell whether there were any."""
        lost = [ticket for ticket, since in self.held.items() if condition(ticket, since)]
        for ticket in lost:
            del self.held[ticket]
        return bool(lost)


# A grant may be on its way to the router while that states what it holds.
STATEMENT_LAG = 0.5
