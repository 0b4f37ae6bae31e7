"""Store of keyed records in memory, with outages for single routers."""

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
    """How calls fail: by a time-out, by an immediate refusal, or by a closed connection."""

    SILENT = "no answer in time"
    BUSY = "status 503"
    RESET = "connection closed"


class MemoryStore:
    """One feed of keyed records.

    A read whose answer falls due during an outage times out, even if the outage ends before
    the deadline of the read.
    """

    def __init__(self, name: str, clock: Clock) -> None:
        self.name = name
        self.clock = clock
        self.changed = Event()
        self.connections = 0
        self.era = 0
        # Reads before this offset fail as trimmed; listings keep the newest record of each key.
        self.first = 0
        self._records: list[KeyedRecord] = []
        self._written_at: list[float] = []
        self._outages: dict[str, Outage] = {}

    def publish(self, key: str, value: bytes | None) -> float:
        """Append a record; return the time at which the write is confirmed."""
        self._records.append(
            KeyedRecord(key=key, value=value, offset=len(self._records), era=self.era)
        )
        self._written_at.append(self.clock.now())
        self._wake()
        return self.clock.now()

    def roll_back(self, seconds: float) -> list[KeyedRecord]:
        """Restore the copy of some seconds ago and begin a new era; return the lost records."""
        kept_count = sum(at <= self.clock.now() - seconds for at in self._written_at)
        lost = self._records[kept_count:]
        del self._records[kept_count:], self._written_at[kept_count:]
        self.era += 1
        self.first = min(self.first, len(self._records))
        return lost

    def trim_to_last(self) -> None:
        """Trim the feed to its last record, for reads only."""
        self.first = max(0, self.end - 1)

    def fail(self, routers: Iterable[str], outage: Outage) -> None:
        """Start an outage for some routers."""
        self._outages |= dict.fromkeys(routers, outage)
        self._wake()

    def heal(self) -> float:
        """End all outages; return the time."""
        self._outages.clear()
        self._wake()
        return self.clock.now()

    def hang_connections(self) -> None:
        """Make all reads in progress time out; later reads work."""
        self.connections += 1

    def outage(self, router: str) -> Outage | None:
        """Return the outage that a router is in now, if any."""
        return self._outages.get(router)

    def records_from(self, offset: int) -> list[KeyedRecord]:
        """Return the records from an offset on."""
        return [evolve(record, era=self.era) for record in self._records[offset:]]

    def newest_records(self) -> list[KeyedRecord]:
        """Return the newest record of each key."""
        newest = {record.key: record for record in self._records}
        return [evolve(one, era=self.era) for one in newest.values() if one.value is not None]

    @property
    def end(self) -> int:
        """Return the offset of the next record."""
        return len(self._records)

    def _wake(self) -> None:
        changed, self.changed = self.changed, Event()
        changed.set()


class MemoryStoreFeed:
    """``Feed`` of one router over a ``MemoryStore``."""

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
        records = self._store.newest_records()
        return Ok(Listing(records=records, position=FeedPosition(self._store.era, self._store.end)))

    def read(self, offset: int, wait_until: float) -> Result[Batch, Fault]:
        self.calls += 1
        store, clock = self._store, self._store.clock
        outage = store.outage(self._router)
        if outage is not None:
            return self._fail(outage, wait_until + ANSWER_MARGIN_SECONDS)
        connections = store.connections
        while not store.records_from(offset) and clock.now() < wait_until:
            wait_any([store.changed], wait_until, clock)
            if store.outage(self._router) is Outage.RESET:
                return self._fail(Outage.RESET, clock.now())
        if store.outage(self._router) is not None or store.connections != connections:
            return self._fail(Outage.SILENT, wait_until + ANSWER_MARGIN_SECONDS)
        if offset > store.end or offset < store.first:
            return Err(Fault(code=ResultCode.LOG_TRIMMED, detail="no such records"))
        records = store.records_from(offset)
        return Ok(Batch(records=records, position=FeedPosition(store.era, store.end)))

    def _fail(self, outage: Outage, deadline: float) -> Err[Fault]:
        if outage is Outage.SILENT:
            self._store.clock.sleep(deadline - self._store.clock.now())
        return Err(Fault(code=ResultCode.LOG_UNAVAILABLE, detail=outage.value))
