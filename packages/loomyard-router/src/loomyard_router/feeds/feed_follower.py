"""Follow a feed for as long as the router runs."""

from __future__ import annotations

import logging
import math
from typing import TYPE_CHECKING, Protocol

import gevent
from result import Err, Ok

from loomyard.errors import ResultCode
from loomyard.events import Event, emit

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from loomyard.clock import Clock
    from loomyard.errors import Fault
    from loomyard_router.feeds.exchange_messages import FeedAnswer
    from loomyard_router.feeds.feed import Batch, Feed
    from loomyard_router.feeds.keyed_record import KeyedRecord

logger = logging.getLogger(__name__)

# Seconds a read waits for records. A store that falls silent never answers the reads that were due
# meanwhile, also after its return, so this and the time for an answer bound how long a router can
# take silence for a quiet feed: 2.2 s, where 3 s after the store's return users hold it to what was
# acknowledged. With 6 to 14 s a route was missing for 3.6 s after the return. It costs one call a
# second for each feed in place of one in ten seconds. Routers wait for different times, so that
# one of them soon notices and tells the others.
LEAST_WAIT = 0.8
MOST_WAIT = 1.2
# A slow store answers this much after the wait; a read that takes longer hangs, mostly.
OVERDUE_SECONDS = 0.5
# A store that is not slow answers a few milliseconds after the wait, so it is time to look.
LATE_SECONDS = 0.15
LIST_SECONDS = 1.5
FIRST_PAUSE = 0.1
LONGEST_PAUSE = 0.8
LOG_DIGITS = 3
STORE = "store"
PEER = "peer"


class RecordTaker(Protocol):
    """Take over what a feed says."""

    def take_listing(self, records: list[KeyedRecord], source: str) -> None:
        """Take the newest record of each key; a key that is not listed is gone.

        ``source`` tells whether the store or another router says so.
        """

    def take_records(self, records: list[KeyedRecord]) -> None:
        """Take changes in order."""

    def note_lost(self) -> None:
        """Take in that the store does not answer."""

    def note_regained(self) -> None:
        """Take in that the store answers again."""


class NewsSource(Protocol):
    """Another way to hear what the store says."""

    def wait_for_news(self, follower: FeedFollower) -> FeedAnswer | None:
        """Wait for news of a feed; ``None`` where the store is to be read."""


class FeedFollower:
    """List a feed once, then read on; list again where records are gone."""

    def __init__(
        self,
        feed: Feed,
        taker: RecordTaker,
        clock: Clock,
        source: random.Random,
        *,
        pace: float = 0.0,
    ) -> None:
        self._pace = pace
        self._feed = feed
        self._taker = taker
        self._clock = clock
        self._random = source
        self._next_offset: int | None = None
        self._records: dict[str, KeyedRecord] = {}
        self._listeners: list[Callable[[FeedFollower], None]] = []
        self._store_listeners: list[Callable[[], None]] = []
        self._news: NewsSource | None = None
        self._failures = 0
        self._asked_at = clock.now()
        self._due_at = self._asked_at
        self._answered_at = self._asked_at
        self._task: gevent.Greenlet | None = None

    @property
    def name(self) -> str:
        return self._feed.name

    @property
    def next_offset(self) -> int:
        """Return the offset of the first record that was not read, -1 before the first listing."""
        return -1 if self._next_offset is None else self._next_offset

    @property
    def records(self) -> list[KeyedRecord]:
        """Return the newest record of each key."""
        return list(self._records.values())

    @property
    def caught_up(self) -> bool:
        return self._next_offset is not None

    @property
    def answering(self) -> bool:
        return self._failures == 0

    @property
    def hangs(self) -> bool:
        """Tell whether the read on its way is overdue; it may not have failed yet."""
        return self._clock.now() >= self.overdue_at

    @property
    def overdue_at(self) -> float:
        """Return when the read on its way has taken longer than a slow store takes."""
        if self._answered_at >= self._asked_at:
            return math.inf
        return self._due_at + OVERDUE_SECONDS

    @property
    def late_at(self) -> float:
        """Return when the read on its way has taken longer than a store takes that is not slow."""
        return self.overdue_at - OVERDUE_SECONDS + LATE_SECONDS

    @property
    def asked_at(self) -> float:
        """Return when the last read began."""
        return self._asked_at

    @property
    def answered_at(self) -> float:
        """Return when the store last answered, to this router or to the one it waits at."""
        return self._answered_at

    def subscribe(self, advanced: Callable[[FeedFollower], None]) -> None:
        """Call back when records were read or heard."""
        self._listeners.append(advanced)

    def subscribe_store(self, changed: Callable[[], None]) -> None:
        """Call back when the store is lost or answers again."""
        self._store_listeners.append(changed)

    def read_through(self, news: NewsSource) -> None:
        """Hear from others instead of the store where they say so."""
        self._news = news

    def take_over(self, records: list[KeyedRecord], next_offset: int) -> None:
        """Take over what another router read further than this one."""
        if next_offset <= self.next_offset:
            return
        self._records = {record.key: record for record in records}
        self._next_offset = next_offset
        self._taker.take_listing(records, PEER)
        self._tell()

    def start(self) -> None:
        """Start to follow."""
        self._task = gevent.spawn(self._run)

    def stop(self) -> None:
        """End."""
        if self._task is not None:
            self._task.kill(block=False)

    def step(self) -> float:
        """Make one call; return the seconds to wait before the next one."""
        before = self._next_offset
        if before is not None and self._news is not None:
            news = self._news.wait_for_news(self)
            if news is not None:
                self._hear(news)
                return 0.0
        self._asked_at = self._due_at = self._clock.now()
        fault = self._list() if before is None else self._read(before)
        if fault is not None:
            return self._note_failure(fault)
        self._note_answer()
        return 0.0 if self._next_offset == before else self._pace

    def _run(self) -> None:
        while True:
            pause = self.step()
            if pause:
                self._clock.sleep(pause)

    def _hear(self, answer: FeedAnswer) -> None:
        self._note_answer()
        self.take_over(answer.records, answer.next_offset)

    def _list(self) -> Fault | None:
        match self._feed.newest(self._clock.now() + LIST_SECONDS):
            case Ok(listing):
                if listing.next_offset < self.next_offset:
                    # A router that read further told this one meanwhile.
                    return None
                self._next_offset = listing.next_offset
                self._records = {record.key: record for record in listing.records}
                self._taker.take_listing(listing.records, STORE)
                self._tell()
                return None
            case Err(fault):
                return fault
        raise AssertionError("a result is a value or a fault")

    def _read(self, offset: int) -> Fault | None:
        # A read that waits would not tell that a lost store is back before it has something to say.
        wait = 0.0 if self._failures else self._random.uniform(LEAST_WAIT, MOST_WAIT)
        self._due_at = self._clock.now() + wait
        match self._feed.read(offset, self._due_at):
            case Ok(batch):
                if batch.next_offset < offset:
                    # The store fell back; what it says from here on is listed anew.
                    return self._list_anew()
                if batch.next_offset > self.next_offset:
                    self._take(batch)
                return None
            case Err(fault):
                if fault.code is ResultCode.LOG_TRIMMED:
                    emit(logger, Event.FEED_TRIMMED, feed=self._feed.name, offset=offset)
                    return self._list_anew()
                return fault
        raise AssertionError("a result is a value or a fault")

    def _list_anew(self) -> Fault | None:
        # At once: in a pause another router that is behind too would say where to read on, and
        # reading there again finds the records gone.
        self._next_offset = None
        return self._list()

    def _take(self, batch: Batch) -> None:
        records = [record for record in batch.records if record.offset >= self.next_offset]
        self._next_offset = batch.next_offset
        if not records:
            return
        for record in records:
            if record.value is None:
                self._records.pop(record.key, None)
            else:
                self._records[record.key] = record
        self._taker.take_records(records)
        self._tell()

    def _tell_store(self) -> None:
        for changed in self._store_listeners:
            changed()

    def _tell(self) -> None:
        for advanced in self._listeners:
            advanced(self)

    def _note_answer(self) -> None:
        if self._failures:
            emit(
                logger,
                Event.FEED_REGAINED,
                feed=self._feed.name,
                failures=self._failures,
                silent=self._seconds_since(self._answered_at),
            )
            self._failures = 0
            self._taker.note_regained()
            self._tell_store()
        self._answered_at = self._clock.now()

    def _note_failure(self, fault: Fault) -> float:
        self._failures += 1
        if self._failures == 1:
            emit(
                logger,
                Event.FEED_LOST,
                feed=self._feed.name,
                detail=fault.detail,
                waited=self._seconds_since(self._asked_at),
                silent=self._seconds_since(self._answered_at),
            )
            self._taker.note_lost()
            self._tell_store()
        pause = min(LONGEST_PAUSE, FIRST_PAUSE * 2.0 ** min(self._failures, 8))
        # Routers that lost the store together must not come back together.
        return pause * self._random.uniform(0.5, 1.0)

    def _seconds_since(self, moment: float) -> float:
        return round(self._clock.now() - moment, LOG_DIGITS)
