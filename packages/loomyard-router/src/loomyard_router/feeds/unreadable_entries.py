"""Count the entries of feeds that can't be read, and log each once."""

from __future__ import annotations

import logging
from collections import Counter, OrderedDict
from typing import TYPE_CHECKING

from loomyard.events import Event, emit

if TYPE_CHECKING:
    from loomyard_router.feeds.feed_position import FeedPosition
    from loomyard_router.feeds.unreadable_entry import UnreadableEntry, UnreadableReason

logger = logging.getLogger(__name__)

# Entries remembered as logged; another writer may leave any number of unreadable ones.
MAX_REMEMBERED = 1024
MAX_KEY_CHARS = 100


class UnreadableEntries:
    """Log each unreadable record once, however often it is listed, and count them by reason."""

    def __init__(self) -> None:
        self.counts: Counter[tuple[str, UnreadableReason]] = Counter()
        self._reported: OrderedDict[tuple[str, str], FeedPosition] = OrderedDict()

    def report(self, feed: str, key: str, position: FeedPosition, entry: UnreadableEntry) -> None:
        """Log and count an unreadable record; its key and position tell whether it is a new one."""
        if self._reported.get((feed, key)) == position:
            return
        self._reported[feed, key] = position
        self._reported.move_to_end((feed, key))
        if len(self._reported) > MAX_REMEMBERED:
            self._reported.popitem(last=False)
        self.counts[feed, entry.reason] += 1
        emit(
            logger,
            Event.ENTRY_UNREADABLE,
            feed=feed,
            key=key[:MAX_KEY_CHARS],
            era=position.era,
            offset=position.offset,
            reason=entry.reason.value,
            detail=entry.detail,
        )
