"""Keep what is known of requests that end targets when all routers are lost at once."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import gevent
from attrs import evolve, field, frozen
from gevent.event import Event as GeventEvent
from result import Err, Ok

from loomyard.events import Event, emit
from loomyard.rendezvous import choose
from loomyard_router.announced.target_incarnation import TargetIncarnation
from loomyard_router.crashes.crash_ledger import BLOCKING_LEVEL, FORGET_SECONDS
from loomyard_router.crashes.crash_messages import MOST_NAME, CrashWord, read_word
from loomyard_router.feeds.unreadable_entry import MAX_DETAIL_CHARS
from loomyard_router.peers.compact_codec import pack, unpack

if TYPE_CHECKING:
    from loomyard.clock import Clock
    from loomyard_router.crashes.crash_archive import CrashArchive
    from loomyard_router.crashes.crash_ledger import CrashLedger
    from loomyard_router.crashes.crash_record import CrashRecord
    from loomyard_router.members.membership import Membership

logger = logging.getLogger(__name__)

CALL_SECONDS = 1.5
FIRST_PAUSE = 0.25
LONGEST_PAUSE = 30.0
# A router that sees no other one may be cut off from all that know more, but not from the store.
ALONE_SECONDS = 2.0


@frozen(kw_only=True)
class KeptRecord:
    """A record as it is kept; ``until`` is of the wall clock, in whole seconds.

    It bounds a life of half an hour, for which the clocks of VMs agree well enough.
    """

    until: int
    cleared: int = 0
    ends: list[tuple[int, TargetIncarnation]] = field(factory=list)


class CrashPersister:
    """Write each request that is refused to the platform, once, and read them at the start.

    One of the routers writes for all: the one that the request belongs to among the live ones. A
    write that failed is made again, also by another router once that one is gone.
    """

    def __init__(
        self, *, clock: Clock, ledger: CrashLedger, archive: CrashArchive, members: Membership
    ) -> None:
        self._clock = clock
        self._ledger = ledger
        self._archive = archive
        self._members = members
        # What stands there by key, as far as this router wrote or read it.
        self._kept: dict[str, KeptRecord] = {}
        self._due = GeventEvent()
        self._read = False
        self._era = 0
        self._read_at = clock.now()
        self._met = False
        self._failures = 0
        self._task: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start to read and to write."""
        self._ledger.subscribe(self._note)
        self._members.subscribe(self._due.set)
        self._task = gevent.spawn(self._run)

    def stop(self) -> None:
        """End."""
        if self._task is not None:
            self._task.kill(block=False)

    def step(self) -> bool:
        """Make one call if one is due; false where it failed."""
        if self._archive.era > self._era:
            # The copy may lack what was written: it is read, and what it lacks written again.
            self._era, self._read = self._archive.era, False
        alone = self._met and len(self._members.live()) == 1
        self._met = self._met or len(self._members.live()) > 1
        if not self._read or (alone and self._clock.now() >= self._read_at + ALONE_SECONDS):
            return self._read_all()
        due = self._find_due()
        return due is None or self._write(*due)

    def _find_due(self) -> tuple[str, KeptRecord | None] | None:
        """Return the next record that this router has to write, ``None`` in it to drop the key."""
        wanted = self._wanted()
        for key in sorted({*wanted, *self._kept}):
            if wanted.get(key) != self._kept.get(key) and self._is_own(key):
                return key, wanted.get(key)
        return None

    def _read_all(self) -> bool:
        now = self._clock.now()
        match self._archive.read(now + CALL_SECONDS):
            case Err(fault):
                self._note_failure(fault.detail)
                return False
            case Ok(values):
                pass
        self._read, self._read_at = True, now
        self._kept.clear()
        for key, value in values.items():
            kept = self._kept[key] = _decode(key, value)
            word = CrashWord(
                fingerprint=key,
                cleared=kept.cleared,
                ends=kept.ends,
                seconds=int(kept.until - self._clock.wall()),
            )
            record = read_word(word, now, FORGET_SECONDS)
            if record is not None:
                self._ledger.join(record)
        return True

    def _write(self, key: str, record: KeptRecord | None) -> bool:
        value = None if record is None else pack(record)
        outcome = self._archive.write(key, value, self._clock.now() + CALL_SECONDS)
        if outcome.is_err():
            self._note_failure(outcome.unwrap_err().detail)
            return False
        if record is None:
            del self._kept[key]
        else:
            self._kept[key] = record
        return True

    def _wanted(self) -> dict[str, KeptRecord]:
        """Return what has to stand there."""
        lag = self._clock.wall() - self._clock.now()
        wanted = {}
        for record in self._ledger.records():
            if self._ledger.level(record.fingerprint) >= BLOCKING_LEVEL:
                ends = sorted(record.ends.items())
                new = KeptRecord(until=int(record.until + lag), cleared=record.cleared, ends=ends)
                kept = self._kept.get(record.fingerprint)
                # What says the same stays, however clocks moved.
                if kept is not None and evolve(new, until=kept.until) == kept:
                    new = kept
                wanted[record.fingerprint] = new
        return wanted

    def _is_own(self, key: str) -> bool:
        names = [member.name for member in self._members.live()]
        return choose(key, names) == self._members.own.name

    def _note(self, _: CrashRecord) -> None:
        self._due.set()

    def _note_failure(self, detail: str) -> None:
        self._failures += 1
        if self._failures == 1:
            emit(logger, Event.CRASHES_NOT_KEPT, detail=detail)

    def _run(self) -> None:
        while True:
            self._due.clear()
            if self.step():
                self._failures = 0
                if self._find_due() is None:
                    self._due.wait(timeout=ALONE_SECONDS)
            else:
                pause = min(LONGEST_PAUSE, FIRST_PAUSE * 2.0 ** min(self._failures, 8))
                self._clock.sleep(pause)


def _decode(key: str, value: bytes) -> KeptRecord:
    match unpack(value, KeptRecord):
        case Ok(record):
            return record
        case Err(detail):
            emit(
                logger,
                Event.ENTRY_UNREADABLE,
                key=key[:MOST_NAME],
                detail=detail[:MAX_DETAIL_CHARS],
            )
    # It is past its end, so its router drops it.
    return KeptRecord(until=0)
