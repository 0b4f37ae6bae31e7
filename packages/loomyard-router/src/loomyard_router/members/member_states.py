"""The state transitions of members: updates, suspicion, refutation and death, after SWIM."""

from __future__ import annotations

import logging
import math
from typing import TYPE_CHECKING

from attrs import evolve

from loomyard.events import Event, emit
from loomyard_router.members.messages import Liveness, MemberUpdate

if TYPE_CHECKING:
    from collections.abc import Iterable

    from loomyard.clock import Clock
    from loomyard_router.members.gossip_queue import GossipQueue
    from loomyard_router.members.membership import Member
    from loomyard_router.members.table import MemberRecord, MemberTable

logger = logging.getLogger(__name__)

# Probe periods to refute a suspicion, times the decimal logarithm of the fleet's size; a smaller
# fleet counts as one of ``MIN_FLEET_SIZE``.
SUSPICION_PERIODS = 3
MIN_FLEET_SIZE = 10
JOIN_SECONDS = 10.0
DEAD_RETENTION_SECONDS = 3600.0


class MemberStates:
    """Apply updates, refute those about this router, and declare unresponsive routers dead.

    Each update that changes the table is queued for gossip.
    """

    def __init__(
        self,
        *,
        own: Member,
        table: MemberTable,
        gossip_queue: GossipQueue,
        clock: Clock,
        period: float,
    ) -> None:
        self.table = table
        self._name = own.name
        self._gossip_queue = gossip_queue
        self._clock = clock
        self._period = period
        self._not_alive: set[str] = set()
        self._joining_until = clock.now() + JOIN_SECONDS
        self.apply(_first_update(own))

    @property
    def own(self) -> MemberUpdate:
        return self.table.records[self._name].update

    @property
    def has_suspects(self) -> bool:
        """Tell whether any router is suspected."""
        return any(
            self.table.records[name].update.liveness is Liveness.SUSPECT for name in self._not_alive
        )

    def others(self) -> list[MemberRecord]:
        """Return the records of the other routers that are not dead."""
        return [record for record in self.table.live() if record.update.name != self._name]

    def receive(self, update: MemberUpdate) -> None:
        """Apply an update received from another router."""
        if update.name == self._name:
            self._receive_own(update)
        else:
            # What a joining router receives is new to few others.
            self.apply(update, fresh=self._clock.now() >= self._joining_until)

    def apply(self, update: MemberUpdate, *, fresh: bool = True) -> bool:
        """Apply an update and queue it for gossip; false if it is not new.

        One that is not ``fresh`` is sent a few times only.
        """
        if not self.table.apply(update):
            return False
        self._gossip_queue.enqueue(update.name, fresh=fresh)
        record = self.table.records[update.name]
        now = self._clock.now()
        if update.liveness is Liveness.SUSPECT:
            record.suspected_until = now + self._suspicion_seconds()
        elif update.liveness is Liveness.DEAD:
            record.expires_at = now + DEAD_RETENTION_SECONDS
        if update.liveness is Liveness.ALIVE:
            self._not_alive.discard(update.name)
        else:
            self._not_alive.add(update.name)
        return True

    def suspect(self, record: MemberRecord) -> bool:
        """Suspect a router; false where it is suspected or dead already."""
        return self.apply(evolve(record.update, liveness=Liveness.SUSPECT))

    def leave(self) -> bool:
        """Mark this router as leaving; false where it is already."""
        own = self.own
        return not own.leaving and self.apply(
            evolve(own, refutation=own.refutation + 1, leaving=True)
        )

    def declare_stopped(self) -> None:
        """Declare this router dead, as it is about to stop."""
        own = self.own
        self.apply(evolve(own, refutation=own.refutation + 1, liveness=Liveness.DEAD))

    def expire_suspicions(self, listed: Iterable[str]) -> None:
        """Declare dead the suspects that did not refute in time.

        Dead routers are removed after ``DEAD_RETENTION_SECONDS`` unless the VM list names them.
        """
        now = self._clock.now()
        for name in list(self._not_alive):
            record = self.table.records[name]
            if record.suspected_until <= now:
                self.apply(evolve(record.update, liveness=Liveness.DEAD))
            elif record.expires_at <= now and name not in listed:
                self.table.remove(name)
                self._not_alive.discard(name)

    def postpone(self, seconds: float) -> None:
        """Give suspects more time, since this process could not receive their refutations."""
        for name in self._not_alive:
            self.table.records[name].suspected_until += seconds

    def _receive_own(self, update: MemberUpdate) -> None:
        own = self.own
        if update.version <= own.version or own.liveness is Liveness.DEAD:
            return
        if update.incarnation == own.incarnation:
            emit(logger, Event.MEMBER_REFUTED, liveness=update.liveness.name)
            self.apply(evolve(own, refutation=update.refutation + 1))
        elif self._clock.now() < self._joining_until:
            # An earlier start of this router had a wall clock that was ahead of the current one.
            self.apply(evolve(own, incarnation=update.incarnation + 1, refutation=0))
        else:
            emit(logger, Event.MEMBER_NAME_TAKEN, name=self._name)

    def _suspicion_seconds(self) -> float:
        """Return the seconds to refute, which grow as gossip takes longer to reach all routers."""
        size = max(MIN_FLEET_SIZE, len(self.table.records))
        return SUSPICION_PERIODS * math.log10(size) * self._period


def _first_update(own: Member) -> MemberUpdate:
    return MemberUpdate(
        name=own.name,
        incarnation=own.incarnation,
        refutation=0,
        liveness=Liveness.ALIVE,
        address=own.address,
        data_centre=own.data_centre,
    )
