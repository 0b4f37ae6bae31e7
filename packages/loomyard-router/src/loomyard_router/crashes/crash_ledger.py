"""The crash records that this router knows, and which suspects they identify as poison."""

from __future__ import annotations

import math
from collections import OrderedDict
from typing import TYPE_CHECKING

from loomyard_router.crashes.attribution import (
    BLOCKING_COUNT,
    PART_BLOCKING_COUNT,
    PROVEN_BLOCKING_COUNT,
    TIED_COUNT,
    Attribution,
    PartGroup,
    attribute_crashes,
)
from loomyard_router.crashes.crash_record import CrashRecord
from loomyard_router.crashes.suspect import is_part
from loomyard_router.members.digests import unordered_digest
from loomyard_router.supervision.listeners import Listeners

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from loomyard.clock import Clock
    from loomyard_router.announced.target_incarnation import TargetLife

# For how long a poison request is refused; then one attempt tries it again. A wrong attribution
# costs its caller this time, each trial of a poison request a target and all that runs there.
BLOCK_SECONDS = 600.0
# What may be innocent is tried again soon: requests that are not told apart, and a part with fewer
# crashes, for which all its callers are refused.
RETRIED_COUNT = PART_BLOCKING_COUNT + 2
PROVEN_RETRIED_COUNT = PROVEN_BLOCKING_COUNT + 1
EARLY_BLOCK_SECONDS = 10.0
# A record outlives its block, so that one crash at the trial is enough to block the request again.
RETENTION_SECONDS = 3 * BLOCK_SECONDS
# The crash of an engine with 48 slots implicates 48 requests and some 100 parts of their prompts:
# room for the crashes of 27 engines, at 535 bytes a record.
MAX_RECORDS = 4096
MAX_CRASHES = 8
MAX_PART_CRASHES = 16
# Delay after an attribution before other requests are exonerated for good. By then all requests at
# the crashes are known, whatever the order of the reports; before, the poison request may not yet
# be distinguishable from one that ran at as many of them.
SETTLE_SECONDS = 2.0


class CrashLedger:
    """Merges records of all routers; equal records give equal attributions.

    A crash counts against every suspect (a request that ran there, a part of its prompt) until one
    of them is identified as poison: then the crashes under it count against no other. Of several
    suspects at the same crashes, the one with the most crashes is identified first.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._records: OrderedDict[str, CrashRecord] = OrderedDict()
        # Suspects with enough crashes to be blocked or tied with one that is, before attribution.
        self._candidates: set[str] = set()
        self._attribution: Attribution | None = None
        self._exonerate_at = math.inf
        self._listeners = Listeners("crash records")
        self._digest: int | None = None

    @property
    def empty(self) -> bool:
        return not self._records

    @property
    def groups(self) -> tuple[PartGroup, ...]:
        """Return the blocked parts of prompts; those not told apart yet are in one group."""
        return self._attribute().groups

    @property
    def digest(self) -> int:
        """Return a digest of the records, equal where two routers have the same ones."""
        if self._digest is None:
            self._digest = unordered_digest(
                [one.suspect, one.cleared, sorted(one.crashes.items())]
                for one in self._records.values()
            )
        return self._digest

    def subscribe(self, changed: Callable[[CrashRecord], None]) -> None:
        """Call back with each record that is new or changed; the callback must not block."""
        self._listeners.subscribe(changed)

    def records(self) -> list[CrashRecord]:
        """Return all records that have not expired."""
        self.expire()
        return list(self._records.values())

    def next_rank(self, suspect: str) -> int:
        """Return the rank of an attempt that starts now."""
        record = self._records.get(suspect)
        return 1 if record is None else record.highest_rank + 1

    def next_ranks(self, suspects: Iterable[str]) -> dict[str, int]:
        """Return the ranks of an attempt that starts now, without those that are 1."""
        known = [one for one in sorted(suspects) if one in self._records]
        return {one: self.next_rank(one) for one in known}

    def has_crashes(self, suspect: str) -> bool:
        """Return whether targets crashed under a suspect that no completion has cleared since."""
        record = self._records.get(suspect)
        return record is not None and bool(record.incarnations)

    def crash_count(self, suspect: str) -> int:
        """Return the crashes attributed to a suspect; those of concurrent copies count once."""
        record = self._records.get(suspect)
        if record is None or record.until <= self._clock.now():
            return 0
        attribution = self._attribute()
        if suspect in attribution.poison:
            return len(record.incarnations)
        return len(record.incarnations - attribution.crashes)

    def blocked_until(self, fingerprint: str) -> float | None:
        """Return the clock time until which a request is refused, ``None`` if it may be sent."""
        record = self._records.get(fingerprint)
        if record is None or self.crash_count(fingerprint) < BLOCKING_COUNT:
            return None
        is_first_block = len(record.incarnations) == BLOCKING_COUNT
        early = is_first_block and fingerprint in self._attribute().tied
        seconds = EARLY_BLOCK_SECONDS if early else BLOCK_SECONDS
        until = record.until - RETENTION_SECONDS + seconds
        return until if until > self._clock.now() else None

    def group_blocked_until(self, group: PartGroup) -> float:
        """Return the clock time from which on a request with all parts of a group may try them."""
        records = [self._records[one] for one in group.parts]
        crashed_at = max(record.until for record in records) - RETENTION_SECONDS
        early = not group.is_decided or self._is_early(records[0])
        return crashed_at + (EARLY_BLOCK_SECONDS if early else BLOCK_SECONDS)

    def is_blocked(self, suspect: str) -> bool:
        """Tell whether a suspect is identified as poison, or is not told apart from one that is."""
        return suspect in self._attribute().poison

    def count_suspected(self) -> int:
        """Return the number of requests under which targets crashed."""
        return sum(
            bool(record.incarnations) for name, record in self._records.items() if not is_part(name)
        )

    def count_blocked(self) -> int:
        """Return the number of requests that are refused."""
        requests = [one for one in self._candidates if not is_part(one)]
        return sum(self.blocked_until(one) is not None for one in requests)

    def count_blocked_parts(self) -> int:
        """Return the number of parts of prompts that are blocked or not told apart from one."""
        return sum(len(group.parts) for group in self.groups)

    def record_crash(self, suspect: str, rank: int, incarnation: TargetLife) -> None:
        """Record that a target crashed under an attempt with a rank."""
        until = self._clock.now() + RETENTION_SECONDS
        self.merge(CrashRecord(suspect=suspect, until=until, crashes={rank: incarnation}))

    def clear(self, suspect: str) -> None:
        """Record that a request completed, so the crashes so far were not caused by it."""
        record = self._records.get(suspect)
        if record is not None and record.incarnations:
            cleared = record.highest_rank
            self.merge(CrashRecord(suspect=suspect, until=record.until, cleared=cleared))

    def merge(self, record: CrashRecord) -> bool:
        """Merge a record into the known ones; return whether it adds information."""
        known = self._records.get(record.suspect)
        merged = record if known is None else known.merged(record)
        if known is not None and known.has_same_content(merged):
            return False
        most = MAX_PART_CRASHES if is_part(record.suspect) else MAX_CRASHES
        if len(merged.crashes) > most:
            oldest = sorted(merged.crashes)[-most - 1]
            merged = merged.merged(
                CrashRecord(suspect=record.suspect, until=merged.until, cleared=oldest)
            )
        known_poison = self._attribute().poison
        self._store(merged)
        if self._attribute().poison - known_poison:
            self._exonerate_at = self._clock.now() + SETTLE_SECONDS
        self._listeners.notify(merged)
        return True

    def expire(self) -> None:
        """Drop expired records; exonerate requests if that is due."""
        now = self._clock.now()
        for suspect in [one for one, known in self._records.items() if known.until <= now]:
            self._drop(suspect)
        if now >= self._exonerate_at:
            self._exonerate_at = math.inf
            self._exonerate()

    def _is_early(self, record: CrashRecord) -> bool:
        """Tell whether a blocked part was tried so seldom that it may still be innocent."""
        limit = PROVEN_RETRIED_COUNT if record.cleared else RETRIED_COUNT
        return len(record.incarnations) < limit

    def _store(self, record: CrashRecord) -> None:
        suspect = record.suspect
        self._records[suspect] = record
        self._records.move_to_end(suspect)
        needed = TIED_COUNT if is_part(suspect) else BLOCKING_COUNT
        if len(record.incarnations) >= needed:
            self._candidates.add(suspect)
        else:
            self._candidates.discard(suspect)
        self._invalidate_caches()
        if len(self._records) > MAX_RECORDS:
            # Drops the oldest with at most one crash, which is probably innocent, else the oldest.
            innocent = (one for one in self._records if self.crash_count(one) <= 1)
            self._drop(next(innocent, next(iter(self._records))))

    def _drop(self, suspect: str) -> None:
        del self._records[suspect]
        self._candidates.discard(suspect)
        self._invalidate_caches()

    def _invalidate_caches(self) -> None:
        self._digest = None
        self._attribution = None

    def _attribute(self) -> Attribution:
        if self._attribution is None:
            records = {one: self._records[one] for one in sorted(self._candidates)}
            self._attribution = attribute_crashes(
                {one: record.incarnations for one, record in records.items()},
                {one for one, record in records.items() if record.cleared and is_part(one)},
            )
        return self._attribution

    def _exonerate(self) -> None:
        """Remove explained crashes from the records of other requests, also for later counts.

        Parts keep theirs: the part that a poison request shares with others is known only once
        targets crash under those, too.
        """
        attribution = self._attribute()
        for name, record in list(self._records.items()):
            if is_part(name) or name in attribution.poison:
                continue
            if record.incarnations & attribution.crashes:
                self._records[name] = record.without(attribution.crashes)
                self._candidates.discard(name)
        self._invalidate_caches()
