"""The router that this one reports usage to."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from loomyard.events import Event, emit
from loomyard_router.admission.share_tree import (
    count_levels,
    find_parent,
    find_root,
    ranks_above,
)
from loomyard_router.lag.lagging_routers import AllFit

if TYPE_CHECKING:
    from loomyard.clock import Clock
    from loomyard_router.lag.lagging_routers import RouterFitness
    from loomyard_router.members.membership import Membership

logger = logging.getLogger(__name__)

# A parent that misses this many replies in a row is replaced, before the last reply expires.
MAX_MISSED_REPLIES = 2
# Membership declares a dead router dead within this time; a live one is tried again.
EXCLUSION_SECONDS = 4.0


class ReportParent:
    """Parent of this router in the share tree, without routers that do not reply.

    Membership takes some seconds to declare a router dead. Without a parent until then the routers
    below it would know no shares.

    A root that lags is replaced by some routers and not by others, which would leave two that sum
    up a part of the fleet each. So a router takes itself for the root only while its sums cover
    half of the fleet; otherwise it reports to ``other_root``, which the others may have chosen.

    A router that is known to lag sums up nothing: it ranks below all others.
    """

    def __init__(
        self, clock: Clock, members: Membership, fitness: RouterFitness | None = None
    ) -> None:
        self._clock = clock
        self._members = members
        self._fitness = fitness or AllFit()
        self._missed_replies = 0
        # Routers that did not reply, with the time until which they are left out.
        self._excluded: dict[str, float] = {}
        self.name: str | None = None
        self.other_root: str | None = None
        self.levels = 1
        self._ranks_first = False
        self._is_confirmed = False
        self._lagging: frozenset[str] = frozenset()
        members.subscribe(self._update)
        self._fitness.subscribe(self._update)
        self._update()

    def refresh(self) -> str | None:
        """Return the name of the parent, ``None`` at the root."""
        now = self._clock.now()
        if any(until <= now for until in self._excluded.values()):
            self._excluded = {name: until for name, until in self._excluded.items() if until > now}
            self._update()
        return self.name

    def is_root_with(self, routers: int) -> bool:
        """Tell whether this router is the root, by the number of routers that its sums cover.

        After a start the router that ranks first is the root before the others have reported.
        """
        if self.name is not None:
            return False
        if 2 * routers >= len(self._members.live()):
            self._is_confirmed = True
            return True
        return self._ranks_first and not self._is_confirmed

    def is_above(self, name: str) -> bool:
        """Tell whether this router ranks above another one, which may then report to it."""
        own = self._members.own.name
        if (own in self._lagging) != (name in self._lagging):
            return name in self._lagging
        return ranks_above(own, name)

    def record_reply(self, name: str) -> None:
        """Record that a router replied to a report."""
        self._missed_replies = 0
        if self._excluded.pop(name, None) is not None:
            self._update()

    def record_missed_reply(self) -> None:
        """Record that the parent did not reply; after several times, replace it for a while."""
        if self.name is None:
            return
        self._missed_replies += 1
        if self._missed_replies < MAX_MISSED_REPLIES:
            return
        self._missed_replies = 0
        silent = self.name
        self._excluded[silent] = self._clock.now() + EXCLUSION_SECONDS
        self._update()
        emit(logger, Event.SHARE_PARENT_SILENT, parent=silent, instead=self.name)

    def _update(self) -> None:
        own = self._members.own.name
        live = [one.name for one in self._members.live()]
        names = self._fitness.fit(live)
        self._lagging = frozenset(live) - frozenset(names)
        self.name = find_parent(own, [name for name in names if name not in self._excluded])
        self.other_root = find_root([name for name in names if name != own])
        self.levels = count_levels(len(names))
        self._ranks_first = find_root(names) == own
        self._is_confirmed = self._is_confirmed and self._ranks_first
