"""Follow a feed for as long as the router runs."""

from __future__ import annotations

import logging
import math
from typing import TYPE_CHECKING

import gevent
from result import Err, Ok

from loomyard.errors import ResultCode
from loomyard.events import Event, emit
from loomyard_router.feeds.believed_records import BelievedRecords
from loomyard_router.feeds.feed import Batch
from loomyard_router.feeds.feed_position import NO_POSITION, FeedPosition
from loomyard_router.feeds.record_consumer import PEER, STORE, RecordConsumer
from loomyard_router.feeds.rollback_policy import RollbackPolicy, StoreIsRight
from loomyard_router.feeds.store_era import StoreEra

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable

    from loomyard.clock import Clock
    from loomyard.errors import Fault
    from loomyard_router.feeds.believed_records import HeldRecord, Loss
    from loomyard_router.feeds.exchange_messages import FeedAnswer
    from loomyard_router.feeds.feed import Feed
    from loomyard_router.feeds.keyed_record import KeyedRecord
    from loomyard_router.feeds.news_source import NewsSource

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
# Keys in the line of a loss.
MOST_TOLD = 20


class FeedFollower:
    """List a feed once, then read on; list again where records are gone."""

    def __init__(
        self,
        feed: Feed,
        taker: RecordConsumer,
        clock: Clock,
        source: random.Random,
        *,
        min_read_interval: float = 0.0,
        era: StoreEra | None = None,
        rollback_policy: RollbackPolicy | None = None,
    ) -> None:
        self._pace = min_read_interval
        self._era = era or StoreEra()
        self._records = BelievedRecords(clock, rollback_policy or StoreIsRight())
        self._feed = feed
        self._taker = taker
        self._clock = clock
        self._random = source
        self._position: FeedPosition | None = None
        self._listed = False
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
    def position(self) -> FeedPosition:
        """Return where the first record stands that was not read."""
        return NO_POSITION if self._position is None else self._position

    @property
    def era(self) -> StoreEra:
        """Return what is known of the eras of the store."""
        return self._era

    @property
    def records(self) -> list[KeyedRecord]:
        """Return the newest record of each key, as the store says."""
        return self._records.said

    @property
    def held(self) -> list[HeldRecord]:
        """Return what is believed against a store that came back from an older copy."""
        return self._records.held

    @property
    def caught_up(self) -> bool:
        return self._position is not None

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

    def changes_since(self, position: FeedPosition) -> list[KeyedRecord] | None:
        """Return what changed since a position, ``None`` where only a listing tells.

        An answer of changes grows with them and not with the fleet's targets: of 3,000 targets a
        listing is some 0.7 MB, and the busiest of 300 routers sent and heard 9.7 MB a second.
        """
        return self._records.changes_since(position)

    def hear(self, answer: FeedAnswer) -> None:
        """Take over what another router answered."""
        if answer.position is NO_POSITION or answer.position <= self.position:
            return
        if not answer.changes:
            self.take_over(answer.records, answer.position, answer.held)
        elif self.position.era == answer.position.era and self._era.accept(answer.position.era):
            self._take(Batch(records=answer.records, position=answer.position), PEER)

    def take_over(
        self,
        records: list[KeyedRecord],
        position: FeedPosition,
        held: Iterable[HeldRecord] = (),
    ) -> None:
        """Take over what another router read further than this one."""
        if position > self.position and self._era.accept(position.era):
            self._adopt(records, position, PEER, held)

    def start(self) -> None:
        """Start to follow."""
        self._task = gevent.spawn(self._run)

    def stop(self) -> None:
        """End."""
        if self._task is not None:
            self._task.kill(block=False)

    def step(self) -> float:
        """Make one call; return the seconds to wait before the next one."""
        before = self._position
        self._end_held()
        if before is not None and self._news is not None:
            news = self._news.wait_for_news(self)
            if news is not None:
                self._hear(news)
                return 0.0
        self._asked_at = self._due_at = self._clock.now()
        if before is None or before.era < self._era.newest:
            fault = self._list()
        else:
            fault = self._read(before)
        if fault is not None:
            return self._note_failure(fault)
        self._note_answer()
        return 0.0 if self._position == before else self._pace

    def _run(self) -> None:
        while True:
            pause = self.step()
            if pause:
                self._clock.sleep(pause)

    def _hear(self, answer: FeedAnswer) -> None:
        self._note_answer()
        self.hear(answer)

    def _list(self) -> Fault | None:
        match self._feed.fetch_listing(self._clock.now() + LIST_SECONDS):
            case Ok(listing):
                held: list[HeldRecord] = []
                if not self._listed and listing.position.era and self._news is not None:
                    # This router may have started just after a loss, so others know more.
                    held = self._news.ask_held(self)
                # A router that read further may have told this one meanwhile.
                if self._era.accept(listing.position.era) and listing.position >= self.position:
                    self._adopt(listing.records, listing.position, STORE, held)
                return None
            case Err(fault):
                return fault
        raise AssertionError("a result is a value or a fault")

    def _adopt(
        self,
        records: list[KeyedRecord],
        position: FeedPosition,
        source: str,
        held: Iterable[HeldRecord],
    ) -> None:
        """Take a whole listing over, with what stands against it since a loss."""
        self._position = position
        self._listed = True
        loss = self._records.replace(records, position, held)
        if loss is not None:
            self._note_loss(loss, source)
        self._taker.apply_listing(self._records.believed, source)
        self._tell()

    def _read(self, position: FeedPosition) -> Fault | None:
        # A read that waits would not tell that a lost store is back before it has something to say.
        wait = 0.0 if self._failures else self._random.uniform(LEAST_WAIT, MOST_WAIT)
        self._due_at = self._clock.now() + wait
        match self._feed.read(position.offset, self._due_at):
            case Ok(batch):
                if not self._era.accept(batch.position.era):
                    return None
                if batch.position.era > position.era or batch.position < position:
                    # The store fell back; what it says from here on is listed anew.
                    return self._list_anew()
                if batch.position > self.position:
                    self._take(batch)
                return None
            case Err(fault):
                if fault.code is ResultCode.LOG_TRIMMED:
                    emit(logger, Event.FEED_TRIMMED, feed=self._feed.name, offset=position.offset)
                    return self._list_anew()
                return fault
        raise AssertionError("a result is a value or a fault")

    def _list_anew(self) -> Fault | None:
        # At once: in a pause another router that is behind too would say where to read on, and
        # reading there again finds the records gone.
        self._position = None
        return self._list()

    def _take(self, batch: Batch, source: str = STORE) -> None:
        records = [record for record in batch.records if record.position >= self.position]
        self._position = batch.position
        if not records:
            return
        changes = self._records.read_on(records, batch.position)
        if changes:
            self._taker.apply_records(changes, source)
        self._tell()

    def _end_held(self) -> None:
        """Believe the store in what nobody wrote again for long enough."""
        if self.answering and (changes := self._records.expire()):
            self._taker.apply_records(changes)

    def _note_loss(self, loss: Loss, source: str) -> None:
        emit(
            logger,
            Event.FEED_FELL_BACK,
            feed=self._feed.name,
            source=source,
            era=loss.after.era,
            offset=loss.after.offset,
            era_before=loss.before.era,
            offset_before=loss.before.offset,
            lacked=loss.lacked[:MOST_TOLD],
            older=loss.older[:MOST_TOLD],
            held=len(self._records.held),
        )

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
            self._records.postpone()
            self._taker.on_store_recovered()
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
            self._taker.on_store_lost()
            self._tell_store()
        pause = min(LONGEST_PAUSE, FIRST_PAUSE * 2.0 ** min(self._failures, 8))
        # Routers that lost the store together must not come back together.
        return pause * self._random.uniform(0.5, 1.0)

    def _seconds_since(self, moment: float) -> float:
        return round(self._clock.now() - moment, LOG_DIGITS)
