"""The crash records that this router knows, and which requests they identify as poison."""

from __future__ import annotations

import math
from collections import OrderedDict
from typing import TYPE_CHECKING

from attrs import frozen

from loomyard_router.announced.target_incarnation import TargetLife
from loomyard_router.crashes.crash_record import CrashRecord
from loomyard_router.members.digests import unordered_digest

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from loomyard.clock import Clock

# Crashes after which a request is blocked. A crash breaks all requests at its target, so one
# implicates innocent requests too, and two may be chance where targets crash every few seconds.
# Users accept three, and three more sends.
BLOCKING_COUNT = 3
# For how long a poison request is refused; then one attempt tries it again. A wrong attribution
# costs its caller this time, each trial of a poison request a target and all that runs there.
BLOCK_SECONDS = 600.0
# A record outlives its block, so that one crash at the trial is enough to block the request again.
RETENTION_SECONDS = 3 * BLOCK_SECONDS
# The crash of an engine with 48 slots implicates 48 requests: room for the crashes of 80 engines,
# at 535 bytes a record.
MAX_RECORDS = 4096
MAX_CRASHES = 8
# Delay after an attribution before other requests are exonerated for good. By then all requests at
# the crashes are known, whatever the order of the reports; before, the poison request may not yet
# be distinguishable from one that ran at as many of them.
SETTLE_SECONDS = 2.0


@frozen(kw_only=True)
class Attribution:
    """The requests identified as poison, and the incarnations whose crashes they explain."""

    poison: frozenset[str]
    crashes: frozenset[TargetLife]


class CrashLedger:
    """Merges records of all routers; equal records give equal attributions.

    A crash counts against every request that ran there until one of them is identified as poison:
    then the crashes under it count against no other. Of several requests at the same crashes, the
    one with the most crashes is identified first.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._records: OrderedDict[str, CrashRecord] = OrderedDict()
        # Requests with enough crashes to be blocked, before attribution.
        self._candidates: set[str] = set()
        self._attribution: Attribution | None = None
        self._exonerate_at = math.inf
        self._listeners: list[Callable[[CrashRecord], None]] = []
        self._digest: int | None = None

    @property
    def empty(self) -> bool:
        return not self._records

    @property
    def digest(self) -> int:
        """Return a digest of the records, equal where two routers have the same ones."""
        if self._digest is None:
            self._digest = unordered_digest(
                [one.fingerprint, one.cleared, sorted(one.crashes.items())]
                for one in self._records.values()
            )
        return self._digest

    def subscribe(self, changed: Callable[[CrashRecord], None]) -> None:
        """Call back with each record that is new or changed; the callback must not block."""
        self._listeners.append(changed)

    def records(self) -> list[CrashRecord]:
        """Return all records that have not expired."""
        self.expire()
        return list(self._records.values())

    def next_rank(self, fingerprint: str) -> int:
        """Return the rank of an attempt that starts now."""
        record = self._records.get(fingerprint)
        return 1 if record is None else record.highest_rank + 1

    def crash_count(self, fingerprint: str) -> int:
        """Return the crashes attributed to a request; those of concurrent copies count once."""
        record = self._records.get(fingerprint)
        if record is None or record.until <= self._clock.now():
            return 0
        attribution = self._attribute()
        if fingerprint in attribution.poison:
            return len(record.incarnations)
        return len(record.incarnations - attribution.crashes)

    def blocked_until(self, fingerprint: str) -> float | None:
        """Return the clock time until which a request is refused, ``None`` if it may be sent."""
        record = self._records.get(fingerprint)
        if record is None or self.crash_count(fingerprint) < BLOCKING_COUNT:
            return None
        until = record.until - (RETENTION_SECONDS - BLOCK_SECONDS)
        return until if until > self._clock.now() else None

    def count_suspected(self) -> int:
        """Return the number of requests under which targets crashed."""
        return sum(bool(record.incarnations) for record in self._records.values())

    def count_blocked(self) -> int:
        """Return the number of requests that are refused."""
        return sum(self.blocked_until(one) is not None for one in self._candidates)

    def record_crash(self, fingerprint: str, rank: int, incarnation: TargetLife) -> None:
        """Record that a target crashed under an attempt with a rank."""
        until = self._clock.now() + RETENTION_SECONDS
        self.merge(CrashRecord(fingerprint=fingerprint, until=until, crashes={rank: incarnation}))

    def clear(self, fingerprint: str) -> None:
        """Record that a request completed, so the crashes so far were not caused by it."""
        record = self._records.get(fingerprint)
        if record is not None and record.incarnations:
            cleared = record.highest_rank
            self.merge(CrashRecord(fingerprint=fingerprint, until=record.until, cleared=cleared))

    def merge(self, record: CrashRecord) -> bool:
        """Merge a record into the known ones; return whether it adds information."""
        known = self._records.get(record.fingerprint)
        merged = record if known is None else known.merged(record)
        if known is not None and known.has_same_content(merged):
            return False
        if len(merged.crashes) > MAX_CRASHES:
            oldest = sorted(merged.crashes)[-MAX_CRASHES - 1]
            merged = merged.merged(
                CrashRecord(fingerprint=record.fingerprint, until=merged.until, cleared=oldest)
            )
        known_poison = self._attribute().poison
        self._store(merged)
        if self._attribute().poison - known_poison:
            self._exonerate_at = self._clock.now() + SETTLE_SECONDS
        for changed in self._listeners:
            changed(merged)
        return True

    def expire(self) -> None:
        """Drop expired records; exonerate requests if that is due."""
        now = self._clock.now()
        for fingerprint in [one for one, known in self._records.items() if known.until <= now]:
            self._drop(fingerprint)
        if now >= self._exonerate_at:
            self._exonerate_at = math.inf
            self._exonerate()

    def _store(self, record: CrashRecord) -> None:
        fingerprint = record.fingerprint
        self._records[fingerprint] = record
        self._records.move_to_end(fingerprint)
        if len(record.incarnations) >= BLOCKING_COUNT:
            self._candidates.add(fingerprint)
        else:
            self._candidates.discard(fingerprint)
        self._invalidate_caches()
        if len(self._records) > MAX_RECORDS:
            # Drops the oldest with at most one crash, which is probably innocent, else the oldest.
            innocent = (one for one in self._records if self.crash_count(one) <= 1)
            self._drop(next(innocent, next(iter(self._records))))

    def _drop(self, fingerprint: str) -> None:
        del self._records[fingerprint]
        self._candidates.discard(fingerprint)
        self._invalidate_caches()

    def _invalidate_caches(self) -> None:
        self._digest = None
        self._attribution = None

    def _attribute(self) -> Attribution:
        if self._attribution is None:
            self._attribution = attribute_crashes(
                {one: self._records[one].incarnations for one in self._candidates}
            )
        return self._attribution

    def _exonerate(self) -> None:
        """Remove explained crashes from the records of other requests, also for later counts."""
        attribution = self._attribute()
        for fingerprint, record in list(self._records.items()):
            if fingerprint not in attribution.poison and record.incarnations & attribution.crashes:
                self._records[fingerprint] = record.without(attribution.crashes)
        self._candidates &= attribution.poison
        self._invalidate_caches()


def attribute_crashes(crashes: Mapping[str, frozenset[TargetLife]]) -> Attribution:
    """Identify poison requests greedily, most unexplained crashes first; ties go together.

    ``crashes`` maps fingerprints to the incarnations that crashed under the request.
    """
    poison: set[str] = set()
    explained: set[TargetLife] = set()
    while True:
        left = {one: len(ended - explained) for one, ended in crashes.items() if one not in poison}
        highest = max(left.values(), default=0)
        if highest < BLOCKING_COUNT:
            return Attribution(poison=frozenset(poison), crashes=frozenset(explained))
        found = [one for one, count in left.items() if count == highest]
        poison.update(found)
        explained.update(*(crashes[one] for one in found))
