"""Persistence of blocked suspects on the platform, for the loss of all routers at once."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from attrs import evolve, field, frozen
from gevent.event import Event as GeventEvent
from result import Err, Ok

from loomyard.events import Event, emit
from loomyard.rendezvous import choose
from loomyard_router.announced.target_incarnation import TargetLife
from loomyard_router.crashes.crash_ledger import RETENTION_SECONDS
from loomyard_router.crashes.crash_messages import MAX_NAME_CHARS, CrashEntry, decode_entry
from loomyard_router.crashes.suspect import is_request
from loomyard_router.feeds.unreadable_entry import MAX_DETAIL_CHARS
from loomyard_router.peers.compact_codec import pack, unpack
from loomyard_router.supervision.tasks import start_supervised

if TYPE_CHECKING:
    from collections.abc import Callable

    import gevent

    from loomyard.clock import Clock
    from loomyard_router.crashes.crash_archive import CrashArchive
    from loomyard_router.crashes.crash_ledger import CrashLedger
    from loomyard_router.crashes.crash_record import CrashRecord
    from loomyard_router.members.membership import Membership

logger = logging.getLogger(__name__)

CALL_SECONDS = 1.5
MIN_RETRY_SECONDS = 0.25
MAX_RETRY_SECONDS = 30.0
# Interval at which a router that sees no other one reads the store again: it may be partitioned
# from routers with newer records, but not from the store.
ISOLATED_SECONDS = 2.0


@frozen(kw_only=True)
class StoredRecord:
    """A crash record as stored; ``until`` is wall-clock time in whole seconds.

    Records last half an hour, for which the clocks of VMs agree well enough.
    """

    until: int
    cleared: int = 0
    crashes: list[tuple[int, TargetLife]] = field(factory=list)


class CrashPersister:
    """Writes the records of blocked suspects to the platform, and reads them at the start.

    ``stores`` tells by its name whether a suspect belongs in this archive. One live router per
    suspect, chosen by rendezvous hash, writes for all. A failed write is retried, by another
    router once that one is gone.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        ledger: CrashLedger,
        archive: CrashArchive,
        members: Membership,
        stores: Callable[[str], bool] = is_request,
    ) -> None:
        self._stores = stores
        self._clock = clock
        self._ledger = ledger
        self._archive = archive
        self._members = members
        # The stored records by key, as far as this router wrote or read them.
        self._stored: dict[str, StoredRecord] = {}
        self._wakeup = GeventEvent()
        self._is_read = False
        self._era = 0
        self._read_at = clock.now()
        self._had_peers = False
        self._failures = 0
        self._task: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start the task that reads and writes."""
        self._ledger.subscribe(self._wake)
        self._members.subscribe(self._wakeup.set)
        self._task = start_supervised("crash records", self._clock, self._run)

    def stop(self) -> None:
        """Stop the task."""
        if self._task is not None:
            self._task.kill(block=False)

    def step(self) -> bool:
        """Make one call if one is due; return false if it failed."""
        if self._archive.era > self._era:
            # The store was rolled back: read it, then write again what it lacks.
            self._era, self._is_read = self._archive.era, False
        alone = self._had_peers and len(self._members.live()) == 1
        self._had_peers = self._had_peers or len(self._members.live()) > 1
        if not self._is_read or (alone and self._clock.now() >= self._read_at + ISOLATED_SECONDS):
            return self._read_all()
        due = self._next_write()
        return due is None or self._write(*due)

    def _next_write(self) -> tuple[str, StoredRecord | None] | None:
        """Return the next key for this router to write, with its record, ``None`` to delete it."""
        desired = self._desired_records()
        for key in sorted({*desired, *self._stored}):
            if desired.get(key) != self._stored.get(key) and self._is_own(key):
                return key, desired.get(key)
        return None

    def _read_all(self) -> bool:
        now = self._clock.now()
        match self._archive.read(now + CALL_SECONDS):
            case Err(fault):
                self._record_failure(fault.detail)
                return False
            case Ok(values):
                pass
        self._is_read, self._read_at = True, now
        self._stored.clear()
        for key, value in values.items():
            stored = self._stored[key] = _decode(key, value)
            entry = CrashEntry(
                suspect=key,
                cleared=stored.cleared,
                crashes=stored.crashes,
                remaining_seconds=int(stored.until - self._clock.wall()),
            )
            record = decode_entry(entry, now, RETENTION_SECONDS)
            if record is not None and self._stores(key):
                self._ledger.merge(record)
        return True

    def _write(self, key: str, record: StoredRecord | None) -> bool:
        value = None if record is None else pack(record)
        outcome = self._archive.write(key, value, self._clock.now() + CALL_SECONDS)
        if outcome.is_err():
            self._record_failure(outcome.unwrap_err().detail)
            return False
        if record is None:
            del self._stored[key]
        else:
            self._stored[key] = record
        return True

    def _desired_records(self) -> dict[str, StoredRecord]:
        """Return the records of blocked suspects by key, as they should be stored."""
        wall_offset = self._clock.wall() - self._clock.now()
        desired = {}
        for record in self._ledger.records():
            if self._stores(record.suspect) and self._ledger.is_blocked(record.suspect):
                crashes = sorted(record.crashes.items())
                new = StoredRecord(
                    until=int(record.until + wall_offset), cleared=record.cleared, crashes=crashes
                )
                stored = self._stored.get(record.suspect)
                # A clock adjustment alone does not cause another write.
                if stored is not None and evolve(new, until=stored.until) == stored:
                    new = stored
                desired[record.suspect] = new
        return desired

    def _is_own(self, key: str) -> bool:
        names = [member.name for member in self._members.live()]
        return choose(key, names) == self._members.own.name

    def _wake(self, record: CrashRecord) -> None:
        if self._stores(record.suspect):
            self._wakeup.set()

    def _record_failure(self, detail: str) -> None:
        self._failures += 1
        if self._failures == 1:
            emit(logger, Event.CRASHES_NOT_KEPT, detail=detail)

    def _run(self) -> None:
        while True:
            self._wakeup.clear()
            if self.step():
                self._failures = 0
                if self._next_write() is None:
                    self._wakeup.wait(timeout=ISOLATED_SECONDS)
            else:
                pause = min(MAX_RETRY_SECONDS, MIN_RETRY_SECONDS * 2.0 ** min(self._failures, 8))
                self._clock.sleep(pause)


def _decode(key: str, value: bytes) -> StoredRecord:
    match unpack(value, StoredRecord):
        case Ok(record):
            return record
        case Err(detail):
            emit(
                logger,
                Event.ENTRY_UNREADABLE,
                key=key[:MAX_NAME_CHARS],
                detail=detail[:MAX_DETAIL_CHARS],
            )
    # An expired record, so the router that owns the key deletes it.
    return StoredRecord(until=0)
