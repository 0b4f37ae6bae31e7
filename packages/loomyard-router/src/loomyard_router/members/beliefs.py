"""What this router believes of itself and others, and which news it owes."""

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
    from loomyard_router.members.membership import Member
    from loomyard_router.members.news import News
    from loomyard_router.members.table import MemberRecord, MemberTable

logger = logging.getLogger(__name__)

SUSPICION_PERIODS = 3
SMALLEST_FLEET = 10
JOIN_SECONDS = 10.0
DEAD_KEPT = 3600.0


class Beliefs:
    """Take updates over, answer those about this router, and bury who stays silent."""

    def __init__(
        self, *, own: Member, table: MemberTable, news: News, clock: Clock, period: float
    ) -> None:
        self.table = table
        self._name = own.name
        self._news = news
        self._clock = clock
        self._period = period
        self._pending: set[str] = set()
        self._joining_until = clock.now() + JOIN_SECONDS
        self.take(_first_update(own))

    @property
    def own(self) -> MemberUpdate:
        return self.table.records[self._name].update

    @property
    def doubting(self) -> bool:
        """Tell whether a suspicion is open."""
        return any(
            self.table.records[name].update.liveness is Liveness.SUSPECT for name in self._pending
        )

    def others(self) -> list[MemberRecord]:
        """Return the records of the other routers that are not dead."""
        return [record for record in self.table.live() if record.update.name != self._name]

    def hear(self, update: MemberUpdate) -> None:
        """Take over what another router believes."""
        if update.name == self._name:
            self._hear_of_self(update)
        else:
            # What a router hears as it joins is new to few others.
            self.take(update, fresh=self._clock.now() >= self._joining_until)

    def take(self, update: MemberUpdate, *, fresh: bool = True) -> bool:
        """Take an update over and pass it on, often where it is fresh; false if not new."""
        if not self.table.apply(update):
            return False
        self._news.add(update.name, fresh=fresh)
        record = self.table.records[update.name]
        now = self._clock.now()
        if update.liveness is Liveness.SUSPECT:
            record.suspected_until = now + self._suspicion_seconds()
        elif update.liveness is Liveness.DEAD:
            record.forget_at = now + DEAD_KEPT
        if update.liveness is Liveness.ALIVE:
            self._pending.discard(update.name)
        else:
            self._pending.add(update.name)
        return True

    def suspect(self, record: MemberRecord) -> bool:
        """Suspect a router; false where that or worse is believed already."""
        return self.take(evolve(record.update, liveness=Liveness.SUSPECT))

    def leave(self) -> bool:
        """Say that this router is leaving; false where it has."""
        own = self.own
        return not own.leaving and self.take(
            evolve(own, refutation=own.refutation + 1, leaving=True)
        )

    def farewell(self) -> None:
        """Say that this router is gone."""
        own = self.own
        self.take(evolve(own, refutation=own.refutation + 1, liveness=Liveness.DEAD))

    def bury(self, listed: Iterable[str]) -> None:
        """Declare dead who did not refute in time; forget the dead that no VM list names."""
        now = self._clock.now()
        for name in list(self._pending):
            record = self.table.records[name]
            if record.suspected_until <= now:
                self.take(evolve(record.update, liveness=Liveness.DEAD))
            elif record.forget_at <= now and name not in listed:
                self.table.forget(name)
                self._pending.discard(name)

    def postpone(self, seconds: float) -> None:
        """Give the suspected more time, since this router could not hear them."""
        for name in self._pending:
            self.table.records[name].suspected_until += seconds

    def _hear_of_self(self, update: MemberUpdate) -> None:
        own = self.own
        if update.version <= own.version or own.liveness is Liveness.DEAD:
            return
        if update.incarnation == own.incarnation:
            emit(logger, Event.MEMBER_REFUTED, liveness=update.liveness.name)
            self.take(evolve(own, refutation=update.refutation + 1))
        elif self._clock.now() < self._joining_until:
            # The wall clock of an earlier start of this name was ahead of ours.
            self.take(evolve(own, incarnation=update.incarnation + 1, refutation=0))
        else:
            emit(logger, Event.MEMBER_NAME_TAKEN, name=self._name)

    def _suspicion_seconds(self) -> float:
        """Return the time to refute, which grows as news takes longer to reach all."""
        size = max(SMALLEST_FLEET, len(self.table.records))
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
