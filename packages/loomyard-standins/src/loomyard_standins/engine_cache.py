"""Bounded prefix cache of an engine, with late and missing cache events on demand."""

from __future__ import annotations

from collections import OrderedDict, deque

from loomyard.external.engine import CacheEvent

CAPACITY = 64
MAX_EVENTS = 512


class PrefixCache:
    """LRU cache of prompt prefixes that publishes what it stores and evicts.

    Injected faults: the newest ``lag`` events are held back, and the next ``lose_events`` events
    are never published, although each uses up a sequence number.
    """

    def __init__(self, capacity: int = CAPACITY, max_events: int = MAX_EVENTS) -> None:
        self.lag = 0
        self.lose_events = 0
        self.hits = 0
        self.misses = 0
        self._capacity = capacity
        self._prefixes: OrderedDict[str, None] = OrderedDict()
        self._events: deque[CacheEvent] = deque(maxlen=max_events)
        self._sequence = 0

    def __contains__(self, prefix: str) -> bool:
        return prefix in self._prefixes

    def touch(self, prefix: str) -> bool:
        """Look a prefix up, store it if absent, and return whether it was cached."""
        if prefix in self._prefixes:
            self.hits += 1
            self._prefixes.move_to_end(prefix)
            return True
        self.misses += 1
        self._prefixes[prefix] = None
        self._publish(prefix, stored=True)
        while len(self._prefixes) > self._capacity:
            evicted, _ = self._prefixes.popitem(last=False)
            self._publish(evicted, stored=False)
        return False

    def clear(self) -> None:
        """Drop all prefixes and events and restart the numbering, as an engine restart does."""
        self._prefixes.clear()
        self._events.clear()
        self._sequence = 0

    def events_after(self, sequence: int) -> list[CacheEvent]:
        """Return the published events with a higher sequence number.

        A number ahead of the newest event predates a restart: all retained events are returned.
        """
        published = list(self._events)[: max(0, len(self._events) - self.lag)]
        if sequence > self._sequence:
            return published
        return [event for event in published if event.sequence > sequence]

    def _publish(self, prefix: str, *, stored: bool) -> None:
        self._sequence += 1
        if self.lose_events:
            self.lose_events -= 1
            return
        self._events.append(CacheEvent(sequence=self._sequence, prefix=prefix, stored=stored))
