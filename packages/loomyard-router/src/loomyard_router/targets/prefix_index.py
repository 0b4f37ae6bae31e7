"""Index of the prompt prefixes that targets probably cache."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

if TYPE_CHECKING:
    from collections.abc import Iterable

    from loomyard.clock import Clock
    from loomyard.external.engine import CacheEvent

MAX_ENTRIES = 60_000
MAX_ENTRIES_PER_TARGET = 1024
MIN_ENTRIES_PER_TARGET = 32
ENTRY_SECONDS = 600.0
# Entries younger than this survive a gap in the events: their own event may still be delayed.
FRESH_SECONDS = 10.0


@define(eq=False)
class _TargetPrefixes:
    """Prefixes of one target, least recently used first, with the time (s) they were seen."""

    seen: dict[str, float] = field(factory=dict)
    sequence: int = 0


class PrefixIndex:
    """Prefixes from this router's own sends and from cache events; a hint, bounded in memory."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._targets: dict[str, _TargetPrefixes] = {}
        self._capacity = MAX_ENTRIES_PER_TARGET

    def holds(self, name: str, prefix: str) -> bool:
        """Return whether a target probably caches a prefix."""
        entry = self._targets.get(name)
        if entry is None:
            return False
        seen = entry.seen.get(prefix)
        return seen is not None and self._clock.now() - seen < ENTRY_SECONDS

    def record(self, name: str, prefix: str) -> None:
        """Record that a target was sent or has stored a prefix."""
        if not prefix:
            return
        seen = self._targets.setdefault(name, _TargetPrefixes()).seen
        seen.pop(prefix, None)
        seen[prefix] = self._clock.now()
        while len(seen) > self._capacity:
            del seen[next(iter(seen))]

    def sequence(self, name: str) -> int:
        """Return the sequence of the last cache event applied, 0 before the first."""
        entry = self._targets.get(name)
        return 0 if entry is None else entry.sequence

    def apply_events(self, name: str, events: Iterable[CacheEvent]) -> bool:
        """Apply cache events; return whether their sequence had no gap.

        After a gap or a restart of the sequence an eviction may have been missed, so all entries
        but the recent ones are dropped.
        """
        entry = self._targets.setdefault(name, _TargetPrefixes())
        complete = True
        for event in events:
            if event.sequence != entry.sequence + 1:
                complete = False
                self._drop_old(entry)
            entry.sequence = event.sequence
            if event.stored:
                self.record(name, event.prefix)
            else:
                entry.seen.pop(event.prefix, None)
        return complete

    def forget(self, name: str) -> None:
        """Drop the entries of a target whose cache is lost or unknown."""
        self._targets.pop(name, None)

    def retain(self, names: set[str]) -> None:
        """Drop all other targets and divide the memory among these."""
        for name in self._targets.keys() - names:
            del self._targets[name]
        share = MAX_ENTRIES // max(1, len(names))
        self._capacity = max(MIN_ENTRIES_PER_TARGET, min(share, MAX_ENTRIES_PER_TARGET))

    def _drop_old(self, entry: _TargetPrefixes) -> None:
        since = self._clock.now() - FRESH_SECONDS
        for prefix in [p for p, at in entry.seen.items() if at < since]:
            del entry.seen[prefix]
