"""Which requests ended how many targets, as far as this router knows."""

from __future__ import annotations

import math
from collections import OrderedDict
from typing import TYPE_CHECKING

from attrs import frozen

from loomyard_router.announced.target_incarnation import TargetIncarnation
from loomyard_router.crashes.crash_record import CrashRecord
from loomyard_router.members.digests import unordered_digest

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from loomyard.clock import Clock

# A target that ends breaks all that runs there. One end blames the innocent with the guilty, two
# may be chance where targets end every few seconds; users allow three, and three more sends.
BLOCKING_LEVEL = 3
# For so long a request that ended targets is refused, after which one send tries it again. Each
# wrong verdict costs its caller this long, each trial of a guilty request a target and all that
# runs there.
BLOCK_SECONDS = 600.0
# A record outlives its block, so that the one trial after it is enough for the next.
FORGET_SECONDS = 3 * BLOCK_SECONDS
# The end of an engine of 48 places blames 48 requests: room for the ends of 80 engines, at 535
# bytes a record (measured over 4,096 of them).
MOST_RECORDS = 4096
MOST_ENDS = 8
# By then all who ran at an end are known, in any order: whoever ran at as many ends as the one that
# is known for them is not told apart from it.
SETTLE_SECONDS = 2.0


@frozen(kw_only=True)
class Verdict:
    """The requests that are known for ending targets, and the lives that ended under them."""

    guilty: frozenset[str]
    ends: frozenset[TargetIncarnation]


class CrashLedger:
    """Join what this router saw with what others tell; the same records give the same verdicts.

    An end is blamed on all that ran there until one request is known for ending targets: then the
    ends under it are its own, and count for nobody else. Of several that ran at the same ends, the
    one under which most targets ended is known first.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._records: OrderedDict[str, CrashRecord] = OrderedDict()
        # Those under which enough targets ended, whoever else ran there.
        self._heavy: set[str] = set()
        self._verdict: Verdict | None = None
        self._excuse_at = math.inf
        self._listeners: list[Callable[[CrashRecord], None]] = []
        self._digest: int | None = None

    @property
    def empty(self) -> bool:
        return not self._records

    @property
    def digest(self) -> int:
        """Return a sum over what the records say, equal where two routers know the same."""
        if self._digest is None:
            self._digest = unordered_digest(
                [one.fingerprint, one.cleared, sorted(one.ends.items())]
                for one in self._records.values()
            )
        return self._digest

    def subscribe(self, changed: Callable[[CrashRecord], None]) -> None:
        """Call back with each record that says more than before; the call must not wait."""
        self._listeners.append(changed)

    def records(self) -> list[CrashRecord]:
        """Return all records that hold."""
        self.expire()
        return list(self._records.values())

    def next_rank(self, fingerprint: str) -> int:
        """Return the rank of a send that begins now."""
        record = self._records.get(fingerprint)
        return 1 if record is None else record.highest + 1

    def level(self, fingerprint: str) -> int:
        """Return how many targets ended under a request, one after the other."""
        record = self._records.get(fingerprint)
        if record is None or record.until <= self._clock.now():
            return 0
        verdict = self._judge()
        if fingerprint in verdict.guilty:
            return len(record.lives)
        return len(record.lives - verdict.ends)

    def blocked_until(self, fingerprint: str) -> float | None:
        """Return until when a request is refused, ``None`` where it may be sent."""
        record = self._records.get(fingerprint)
        if record is None or self.level(fingerprint) < BLOCKING_LEVEL:
            return None
        until = record.until - (FORGET_SECONDS - BLOCK_SECONDS)
        return until if until > self._clock.now() else None

    def count_suspected(self) -> int:
        """Return under how many requests targets ended."""
        return sum(bool(record.lives) for record in self._records.values())

    def count_blocked(self) -> int:
        """Return how many requests are refused."""
        return sum(self.blocked_until(one) is not None for one in self._heavy)

    def note_end(self, fingerprint: str, rank: int, life: TargetIncarnation) -> None:
        """Take in that a target ended under a request that was sent with a rank."""
        until = self._clock.now() + FORGET_SECONDS
        self.join(CrashRecord(fingerprint=fingerprint, until=until, ends={rank: life}))

    def clear(self, fingerprint: str) -> None:
        """Take in that a request ran to its end, so that what was blamed on it was not its own."""
        record = self._records.get(fingerprint)
        if record is not None and record.lives:
            cleared = record.highest
            self.join(CrashRecord(fingerprint=fingerprint, until=record.until, cleared=cleared))

    def join(self, told: CrashRecord) -> bool:
        """Take in a record; tell whether it says more than was known."""
        known = self._records.get(told.fingerprint)
        joined = told if known is None else known.joined(told)
        if known is not None and known.says_as_much(joined):
            return False
        if len(joined.ends) > MOST_ENDS:
            oldest = sorted(joined.ends)[-MOST_ENDS - 1]
            joined = joined.joined(
                CrashRecord(fingerprint=told.fingerprint, until=joined.until, cleared=oldest)
            )
        known_guilty = self._judge().guilty
        self._keep(joined)
        if self._judge().guilty - known_guilty:
            self._excuse_at = self._clock.now() + SETTLE_SECONDS
        for changed in self._listeners:
            changed(joined)
        return True

    def expire(self) -> None:
        """Forget what is past its end, and whom an end is no longer blamed on."""
        now = self._clock.now()
        for fingerprint in [one for one, known in self._records.items() if known.until <= now]:
            self._drop(fingerprint)
        if now >= self._excuse_at:
            self._excuse_at = math.inf
            self._excuse()

    def _keep(self, record: CrashRecord) -> None:
        fingerprint = record.fingerprint
        self._records[fingerprint] = record
        self._records.move_to_end(fingerprint)
        if len(record.lives) >= BLOCKING_LEVEL:
            self._heavy.add(fingerprint)
        else:
            self._heavy.discard(fingerprint)
        self._forget_sums()
        if len(self._records) > MOST_RECORDS:
            # The oldest of those that may well be innocent.
            innocent = (one for one in self._records if self.level(one) <= 1)
            self._drop(next(innocent, next(iter(self._records))))

    def _drop(self, fingerprint: str) -> None:
        del self._records[fingerprint]
        self._heavy.discard(fingerprint)
        self._forget_sums()

    def _forget_sums(self) -> None:
        self._digest = None
        self._verdict = None

    def _judge(self) -> Verdict:
        if self._verdict is None:
            self._verdict = find_guilty({one: self._records[one].lives for one in self._heavy})
        return self._verdict

    def _excuse(self) -> None:
        """Let ends that are explained count for nobody else, also not when more come to them."""
        verdict = self._judge()
        for fingerprint, record in list(self._records.items()):
            if fingerprint not in verdict.guilty and record.lives & verdict.ends:
                self._records[fingerprint] = record.without(verdict.ends)
        self._heavy &= verdict.guilty
        self._forget_sums()


def find_guilty(ends: Mapping[str, frozenset[TargetIncarnation]]) -> Verdict:
    """Find the fewest requests that explain the ends; those that explain as many go together."""
    guilty: set[str] = set()
    explained: set[TargetIncarnation] = set()
    while True:
        left = {one: len(lives - explained) for one, lives in ends.items() if one not in guilty}
        most = max(left.values(), default=0)
        if most < BLOCKING_LEVEL:
            return Verdict(guilty=frozenset(guilty), ends=frozenset(explained))
        found = [one for one, count in left.items() if count == most]
        guilty.update(found)
        explained.update(*(ends[one] for one in found))
