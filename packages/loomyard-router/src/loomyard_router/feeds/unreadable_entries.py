"""Count the entries of feeds that can't be read, and tell of each once."""

from __future__ import annotations

import logging
from collections import Counter, OrderedDict
from typing import TYPE_CHECKING

from loomyard.events import Event, emit

if TYPE_CHECKING:
    from loomyard_router.feeds.feed_position import FeedPosition
    from loomyard_router.feeds.unreadable_entry import UnreadableEntry, UnreadableReason

logger = logging.getLogger(__name__)

# Entries whose lines are remembered; another writer may leave any number of them.
MOST_TOLD = 1024
MOST_KEY = 100


class UnreadableEntries:
    """One log line for each record, however often it is listed, and a counter by reason."""

    def __init__(self) -> None:
        self.counts: Counter[tuple[str, UnreadableReason]] = Counter()
        self._told: OrderedDict[tuple[str, str], FeedPosition] = OrderedDict()

    def report(self, feed: str, key: str, position: FeedPosition, entry: UnreadableEntry) -> None:
        """Take in that the record of a key at a position can't be read."""
        if self._told.get((feed, key)) == position:
            return
        self._told[feed, key] = position
        self._told.move_to_end((feed, key))
        if len(self._told) > MOST_TOLD:
            self._told.popitem(last=False)
        self.counts[feed, entry.reason] += 1
        emit(
            logger,
            Event.ENTRY_UNREADABLE,
            feed=feed,
            key=key[:MOST_KEY],
            era=position.era,
            offset=position.offset,
            reason=entry.reason.value,
            detail=entry.detail,
        )
