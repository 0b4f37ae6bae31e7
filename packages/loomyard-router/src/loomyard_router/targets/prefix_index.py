"""What the prefix caches of targets probably hold."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

if TYPE_CHECKING:
    from collections.abc import Iterable

    from loomyard.clock import Clock
    from loomyard.outside.engine import CacheEvent

MAX_ENTRIES = 60_000
MAX_ENTRIES_PER_TARGET = 1024
MIN_ENTRIES_PER_TARGET = 32
ENTRY_SECONDS = 600.0
# An own send younger than this outlives a gap: its event may still be on its way.
FRESH_SECONDS = 10.0


@define(eq=False)
class _TargetPrefixes:
    """Prefixes of one target, the least recently used first; the value is when it was seen."""

    seen: dict[str, float] = field(factory=dict)
    sequence: int = 0


class PrefixIndex:
    """Own sends and cache events; a hint only, bounded in memory."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._targets: dict[str, _TargetPrefixes] = {}
        self._capacity = MAX_ENTRIES_PER_TARGET

    def holds(self, name: str, prefix: str) -> bool:
        """Tell whether a target probably holds a prefix."""
        entry = self._targets.get(name)
        if entry is None:
            return False
        seen = entry.seen.get(prefix)
        return seen is not None and self._clock.now() - seen < ENTRY_SECONDS

    def note(self, name: str, prefix: str) -> None:
        """Take in that a target was sent or stored a prefix."""
        if not prefix:
            return
        seen = self._targets.setdefault(name, _TargetPrefixes()).seen
        seen.pop(prefix, None)
        seen[prefix] = self._clock.now()
        while len(seen) > self._capacity:
            del seen[next(iter(seen))]

    def sequence(self, name: str) -> int:
        """Return the number of the last cache event taken in."""
        entry = self._targets.get(name)
        return 0 if entry is None else entry.sequence

    def take_events(self, name: str, events: Iterable[CacheEvent]) -> bool:
        """Take cache events in; tell whether there was no gap.

        After a gap or a restart of the numbers an eviction may have been missed, so all but
        fresh entries are forgotten.
        """
        entry = self._targets.setdefault(name, _TargetPrefixes())
        whole = True
        for event in events:
            if event.sequence != entry.sequence + 1:
                whole = False
                self._forget_old(entry)
            entry.sequence = event.sequence
            if event.stored:
                self.note(name, event.prefix)
            else:
                entry.seen.pop(event.prefix, None)
        return whole

    def forget(self, name: str) -> None:
        """Forget a target, whose cache is gone or unknown."""
        self._targets.pop(name, None)

    def retain(self, names: set[str]) -> None:
        """Forget all other targets and share the memory among these."""
        for name in self._targets.keys() - names:
            del self._targets[name]
        part = MAX_ENTRIES // max(1, len(names))
        self._capacity = max(MIN_ENTRIES_PER_TARGET, min(part, MAX_ENTRIES_PER_TARGET))

    def _forget_old(self, entry: _TargetPrefixes) -> None:
        since = self._clock.now() - FRESH_SECONDS
        for prefix in [p for p, at in entry.seen.items() if at < since]:
            del entry.seen[prefix]
