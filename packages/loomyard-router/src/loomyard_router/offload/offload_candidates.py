"""The routers that may serve callers of this one while it lags."""

from __future__ import annotations

import random

from attrs import define, field, frozen

from loomyard.clock import Clock
from loomyard.util.addresses import split_address
from loomyard_router.lag.lagging_routers import RouterFitness
from loomyard_router.members.membership import Membership, MemberState

# Routers listen for offloaded connections at the port after that for links.
PORT_OFFSET = 1
# For so long a router is left out that did not accept a connection, such as one of an older build.
EXCLUSION_SECONDS = 5.0


@frozen
class OffloadAddress:
    """A router and where it takes connections of callers of others."""

    name: str
    address: tuple[str, int]


@define(eq=False)
class OffloadCandidates:
    """Routers in this data centre that are not suspected, do not lag and accept connections.

    Other data centres are left out: the bytes of requests that must stay in a region would leave
    it, and traffic between data centres has a price.
    """

    clock: Clock
    members: Membership
    fitness: RouterFitness
    rng: random.Random
    _excluded: dict[str, float] = field(factory=dict)

    def choose(self) -> OffloadAddress | None:
        """Return one of the candidates at random, ``None`` without any."""
        own, now = self.members.own, self.clock.now()
        candidates = [
            member
            for member in self.members.live()
            if member.data_centre == own.data_centre
            and member.state is MemberState.ALIVE
            and member.name != own.name
            and member.address
            and not self.fitness.is_lagging(member.name)
            and self._excluded.get(member.name, 0.0) <= now
        ]
        if not candidates:
            return None
        member = self.rng.choice(candidates)
        host, port = split_address(member.address)
        return OffloadAddress(member.name, (host, port + PORT_OFFSET))

    def exclude(self, name: str) -> None:
        """Leave out a router for a while, as it did not accept a connection."""
        now = self.clock.now()
        self._excluded = {one: until for one, until in self._excluded.items() if until > now}
        self._excluded[name] = now + EXCLUSION_SECONDS
