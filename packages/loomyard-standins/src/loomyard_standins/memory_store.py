"""A store of keyed records in this process, with outages for all routers or for some."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from attrs import evolve
from gevent.event import Event
from result import Err, Ok, Result

from loomyard.errors import Fault, ResultCode
from loomyard.util.waiting import wait_any
from loomyard_router.feeds.feed import ANSWER_MARGIN_SECONDS, Batch, Listing
from loomyard_router.feeds.feed_position import FeedPosition
from loomyard_router.feeds.keyed_record import KeyedRecord

if TYPE_CHECKING:
    from collections.abc import Iterable

    from loomyard.clock import Clock


class Outage(Enum):
    """What becomes of calls: no answer, a refusal at once, or broken connections."""

    SILENT = "no answer in time"
    BUSY = "status 503"
    RESET = "connection closed"


class MemoryStore:
    """One feed. An answer that is due while the store is away is never given, also later."""

    def __init__(self, name: str, clock: Clock) -> None:
        self.name = name
        self.clock = clock
        self.moved = Event()
        self.connections = 0
        self.era = 0
        # Records before this offset are gone for readers; listings still have the newest of a key.
        self.first = 0
        self._records: list[KeyedRecord] = []
        self._written_at: list[float] = []
        self._outages: dict[str, Outage] = {}

    def publish(self, key: str, value: bytes | None) -> float:
        """Keep a record; return the time at which its writer is told so."""
        self._records.append(
            KeyedRecord(key=key, value=value, offset=len(self._records), era=self.era)
        )
        self._written_at.append(self.clock.now())
        self._wake()
        return self.clock.now()

    def fall_back(self, seconds: float) -> list[KeyedRecord]:
        """Come back from a copy that is some seconds old; return the records that it lacks."""
        kept = sum(at <= self.clock.now() - seconds for at in self._written_at)
        lost = self._records[kept:]
        del self._records[kept:], self._written_at[kept:]
        self.era += 1
        self.first = min(self.first, len(self._records))
        return lost

    def cut_short(self) -> None:
        """Drop all records but the last one."""
        self.first = max(0, self.end - 1)

    def fail(self, routers: Iterable[str], outage: Outage) -> None:
        """Begin an outage for some routers."""
        self._outages |= dict.fromkeys(routers, outage)
        self._wake()

    def heal(self) -> float:
        """End all outages; return the time."""
        self._outages.clear()
        self._wake()
        return self.clock.now()

    def mute(self) -> None:
        """Let all open connections fall silent for good; new ones work."""
        self.connections += 1

    def outage(self, router: str) -> Outage | None:
        """Return how the store fails a router now."""
        return self._outages.get(router)

    def since(self, offset: int) -> list[KeyedRecord]:
        """Return the records from an offset on."""
        return [evolve(record, era=self.era) for record in self._records[offset:]]

    def newest(self) -> list[KeyedRecord]:
        """Return the newest record of each key."""
        newest = {record.key: record for record in self._records}
        return [evolve(one, era=self.era) for one in newest.values() if one.value is not None]

    @property
    def end(self) -> int:
        """Return the offset of the next record."""
        return len(self._records)

    def _wake(self) -> None:
        moved, self.moved = self.moved, Event()
        moved.set()


class MemoryStoreFeed:
    """The ``Feed`` of one router."""

    def __init__(self, store: MemoryStore, router: str) -> None:
        self.calls = 0
        self._store = store
        self._router = router

    @property
    def name(self) -> str:
        return self._store.name

    def fetch_listing(self, deadline: float) -> Result[Listing, Fault]:
        self.calls += 1
        outage = self._store.outage(self._router)
        if outage is not None:
            return self._fail(outage, deadline)
        records = self._store.newest()
        return Ok(Listing(records=records, position=FeedPosition(self._store.era, self._store.end)))

    def read(self, offset: int, wait_until: float) -> Result[Batch, Fault]:
        self.calls += 1
        store, clock = self._store, self._store.clock
        outage = store.outage(self._router)
        if outage is not None:
            return self._fail(outage, wait_until + ANSWER_MARGIN_SECONDS)
        connections = store.connections
        while not store.since(offset) and clock.now() < wait_until:
            wait_any([store.moved], wait_until, clock)
            if store.outage(self._router) is Outage.RESET:
                return self._fail(Outage.RESET, clock.now())
        if store.outage(self._router) is not None or store.connections != connections:
            return self._fail(Outage.SILENT, wait_until + ANSWER_MARGIN_SECONDS)
        if offset > store.end or offset < store.first:
            return Err(Fault(code=ResultCode.LOG_TRIMMED, detail="no such records"))
        records = store.since(offset)
        return Ok(Batch(records=records, position=FeedPosition(store.era, store.end)))

    def _fail(self, outage: Outage, deadline: float) -> Err[Fault]:
        if outage is Outage.SILENT:
            self._store.clock.sleep(deadline - self._store.clock.now())
        return Err(Fault(code=ResultCode.LOG_UNAVAILABLE, detail=outage.value))
