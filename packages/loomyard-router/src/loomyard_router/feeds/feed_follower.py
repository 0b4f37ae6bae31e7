"""Follow a feed: list it once, then read its changes for as long as the router runs."""

from __future__ import annotations

import logging
import math
from contextlib import contextmanager
from typing import TYPE_CHECKING

from gevent.event import Event as GeventEvent
from result import Err, Ok

from loomyard.errors import ResultCode
from loomyard.events import Event, emit
from loomyard.util.waiting import wait_any
from loomyard_router.feeds.effective_records import EffectiveRecords
from loomyard_router.feeds.feed import Batch
from loomyard_router.feeds.feed_position import NO_POSITION, FeedPosition
from loomyard_router.feeds.peer_source import READER_POLL_SECONDS
from loomyard_router.feeds.read_lease import ReadLease
from loomyard_router.feeds.read_watch import ReadWatch
from loomyard_router.feeds.record_consumer import PEER, STORE, RecordConsumer
from loomyard_router.feeds.rollback_policy import PreferStore, RollbackPolicy
from loomyard_router.feeds.store_era import StoreEra
from loomyard_router.feeds.store_times import StoreTimes
from loomyard_router.supervision.failures import record_failure
from loomyard_router.supervision.listeners import Listeners
from loomyard_router.supervision.tasks import start_supervised

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable, Iterator

    import gevent

    from loomyard.clock import Clock
    from loomyard.errors import Fault
    from loomyard_router.feeds.effective_records import RetainedRecord, Rollback
    from loomyard_router.feeds.exchange_messages import FeedAnswer
    from loomyard_router.feeds.feed import Feed
    from loomyard_router.feeds.keyed_record import KeyedRecord
    from loomyard_router.feeds.peer_source import PeerSource

logger = logging.getLogger(__name__)

# Seconds of a long poll, drawn for each read. A store that stops answering never answers the reads
# that were due meanwhile, also after its return, so the poll and the margin for an answer bound how
# long a router mistakes an outage for a quiet feed: 2.2 s. Users expect every router to have what
# was acknowledged within 3 s after the store's return; with polls of 6 to 14 s a route was missing
# for 3.6 s. The cost is one call a second for each feed. Routers draw different times, so that one
# of them notices an outage soon and its peers learn of it.
MIN_POLL_SECONDS = 0.8
MAX_POLL_SECONDS = 1.2
# A slow store answers within this many seconds after the poll; a later read hangs, mostly.
OVERDUE_SECONDS = 0.5
# A store that is not slow answers a few milliseconds after the poll, so that a read which takes
# this much longer is a first sign of an outage.
LATE_SECONDS = 0.15
LISTING_TIMEOUT = 1.5
# The pause before the feed is listed again, where its records could not be applied.
RELIST_SECONDS = 0.5
FIRST_RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 0.8
# The pause after a read that returned changes while more of them are expected at any moment.
HURRIED_READ_INTERVAL = 0.1
# The time before the end of a lease at which no pause holds up its renewal.
RENEWAL_SECONDS = 0.3
LOG_DIGITS = 3
# Keys in the log line of a rollback.
MAX_KEYS_LOGGED = 20


class FeedFollower:
    """Keep the records of a feed up to date; list it again where unread records were trimmed.

    ``min_read_interval`` is the pause in seconds after a read that returned changes, which is cut
    short while ``is_hurried`` says that more are expected. ``times`` is kept up to date with when
    the store accepted what is read, and ``lease`` with until when it may be used.
    """

    def __init__(
        self,
        feed: Feed,
        consumer: RecordConsumer,
        clock: Clock,
        rng: random.Random,
        *,
        min_read_interval: float = 0.0,
        era: StoreEra | None = None,
        rollback_policy: RollbackPolicy | None = None,
        times: StoreTimes | None = None,
        lease: ReadLease | None = None,
        is_hurried: Callable[[], bool] = lambda: False,
    ) -> None:
        self.lease = lease or ReadLease(clock, math.inf, math.inf)
        self._watch = ReadWatch(clock, times or StoreTimes(), self.lease)
        self._is_watched = times is not None or lease is not None
        self._is_hurried = is_hurried
        self._min_read_interval = min_read_interval
        self._era = era or StoreEra()
        self._records = EffectiveRecords(clock, rollback_policy or PreferStore())
        self._feed = feed
        self._consumer = consumer
        self._clock = clock
        self._rng = rng
        self._position: FeedPosition | None = None
        self._has_listed = False
        # Whether records were read that could not be applied.
        self._must_relist = False
        self._listeners = Listeners("feed")
        self._store_listeners = Listeners("feed")
        self._peer_source: PeerSource | None = None
        self._failures = 0
        self._call_started_at = clock.now()
        self._poll_ends_at = self._call_started_at
        self._answered_at = self._call_started_at
        self._next_read_at = math.inf
        self._task: gevent.Greenlet | None = None
        # Whether the next read is to be answered at once, and what ends the pause before it.
        self._must_confirm = False
        self._was_urgent = False
        self._hurried = GeventEvent()

    @property
    def name(self) -> str:
        return self._feed.name

    @property
    def position(self) -> FeedPosition:
        """Return the position of the first record that was not read."""
        return NO_POSITION if self._position is None else self._position

    @property
    def era(self) -> StoreEra:
        """Return the tracker of the store's newest era."""
        return self._era

    @property
    def records(self) -> list[KeyedRecord]:
        """Return the newest record of each key in the store."""
        return self._records.stored

    @property
    def retained(self) -> list[RetainedRecord]:
        """Return the records that override the store since its rollback."""
        return self._records.retained

    @property
    def has_position(self) -> bool:
        return self._position is not None

    @property
    def store_available(self) -> bool:
        return self._failures == 0

    @property
    def read_overdue(self) -> bool:
        """Tell whether the outstanding read is overdue, though it may not have failed yet."""
        return self._clock.now() >= self.overdue_at

    @property
    def overdue_at(self) -> float:
        """Return from when on the outstanding read takes longer than with a slow store.

        During the pause before a read, return from when on that read should have ended.
        """
        if self._answered_at >= self._call_started_at:
            return self._next_read_at + OVERDUE_SECONDS
        return self._poll_ends_at + OVERDUE_SECONDS

    @property
    def late_at(self) -> float:
        """Return from when on the outstanding read takes longer than with a normal store."""
        return self.overdue_at - OVERDUE_SECONDS + LATE_SECONDS

    @property
    def call_started_at(self) -> float:
        """Return when the last call to the store began."""
        return self._call_started_at

    @property
    def answered_at(self) -> float:
        """Return when the store last answered, to this router or to the reader that it polls."""
        return self._answered_at

    @property
    def _is_urgent(self) -> bool:
        """Tell whether the next read is to be answered at once."""
        # An answer of a stale copy of the store renews no lease: after it comes a long poll again.
        return self._must_confirm or (self.lease.has_expired and not self._was_urgent)

    def subscribe(self, advanced: Callable[[FeedFollower], None]) -> None:
        """Call back when records were read or received from a peer."""
        self._listeners.subscribe(advanced)

    def subscribe_store(self, changed: Callable[[], None]) -> None:
        """Call back when the store stops answering or answers again."""
        self._store_listeners.subscribe(changed)

    def set_peer_source(self, peer_source: PeerSource) -> None:
        """Poll a peer instead of the store whenever the peer source has one to poll."""
        self._peer_source = peer_source

    def changes_since(self, position: FeedPosition) -> list[KeyedRecord] | None:
        """Return the changes since a position, ``None`` where they are no longer remembered.

        The size of an answer then depends on the changes and not on the number of targets: a
        listing of 3,000 targets has about 0.7 MB, and with listings alone the busiest of 300
        routers sent and received 9.7 MB a second.
        """
        return self._records.changes_since(position)

    def apply_answer(self, answer: FeedAnswer) -> None:
        """Apply the answer of another router that has read further than this one."""
        if answer.position is NO_POSITION or answer.position <= self.position:
            return
        if not answer.is_delta:
            self.apply_peer_listing(answer.records, answer.position, answer.retained)
        elif self.position.era == answer.position.era and self._era.accept(answer.position.era):
            self._apply_batch(Batch(records=answer.records, position=answer.position), PEER)

    def apply_peer_listing(
        self,
        records: list[KeyedRecord],
        position: FeedPosition,
        retained: Iterable[RetainedRecord] = (),
    ) -> None:
        """Apply a listing of another router that has read further than this one."""
        if position > self.position and self._era.accept(position.era):
            self._apply_listing(records, position, PEER, retained)

    def confirm(self) -> None:
        """Read as soon as possible, and without a long poll, to renew the lease.

        The answer of an outstanding read, which may have waited in the socket, is applied first.
        """
        self._must_confirm = True
        self._hurried.set()

    def start(self) -> None:
        """Start to follow the feed."""
        self._task = start_supervised(f"feed {self.name}", self._clock, self._run)
        if self._is_watched:
            self._watch.start()

    def stop(self) -> None:
        """End the tasks."""
        if self._task is not None:
            self._task.kill(block=False)
        self._watch.stop()

    def step(self) -> float:
        """Make one call to a peer or the store; return the seconds to wait before the next one."""
        before = self._position
        self._next_read_at = math.inf
        self._expire_retained()
        if before is not None and self._peer_source is not None and not self._must_relist:
            polled_at = self._clock.now()
            lag = self._min_read_interval + LATE_SECONDS
            seconds = 0.0 if self._is_urgent else READER_POLL_SECONDS
            self._watch.begin_poll(polled_at + seconds, lag=lag)
            answer = self._peer_source.poll(self, seconds)
            self._watch.end_poll()
            if answer is not None:
                self._must_confirm, self._was_urgent = False, not seconds
                self._apply_polled(answer, polled_at, seconds)
                return 0.0
        self._call_started_at = self._poll_ends_at = self._clock.now()
        self._watch.begin_call()
        if before is None or before.era < self._era.newest or self._must_relist:
            fault = self._list()
        else:
            fault = self._read(before)
        if fault is not None:
            return self._record_failure(fault)
        self._record_answer()
        self._watch.end_call()
        if self._must_relist:
            return RELIST_SECONDS
        if self._position == before:
            return 0.0
        pause = HURRIED_READ_INTERVAL if self._is_hurried() else self._min_read_interval
        # After a stall the answer may be old: read on before decisions have to wait for that.
        lease_left = self.lease.valid_until - self._clock.now()
        pause = max(0.0, min(pause, lease_left - RENEWAL_SECONDS))
        self._next_read_at = self._clock.now() + pause
        return pause

    def _run(self) -> None:
        # After an exception the last records may have been read but not applied.
        self._must_relist = self._has_listed
        while True:
            pause = self.step()
            if pause and not self._must_confirm:
                self._hurried.clear()
                wait_any([self._hurried], self._clock.now() + pause, self._clock)

    def _apply_polled(self, answer: FeedAnswer, polled_at: float, seconds: float) -> None:
        self._record_answer()
        position = self._position
        self.apply_answer(answer)
        has_waited = self._clock.now() >= polled_at + seconds
        if position == self._position and has_waited:
            # Nothing new by the end of the poll.
            polled_at += seconds
        # How long ago at most a reader whose read is not overdue read everything.
        reader_lag = self._min_read_interval + OVERDUE_SECONDS + LATE_SECONDS
        self._watch.record_polled(polled_at, most_lag=reader_lag)

    def _list(self) -> Fault | None:
        match self._feed.fetch_listing(self._clock.now() + LISTING_TIMEOUT):
            case Ok(listing):
                retained: list[RetainedRecord] = []
                if not self._has_listed and listing.position.era and self._peer_source is not None:
                    # This router may have started just after a rollback of which peers know more.
                    retained = self._peer_source.fetch_retained(self)
                # A peer may have sent records of a later position meanwhile.
                if self._era.accept(listing.position.era) and listing.position >= self.position:
                    self._apply_listing(listing.records, listing.position, STORE, retained)
                    self._watch.record_applied()
                return None
            case Err(fault):
                return fault
        raise AssertionError("a result is a value or a fault")

    def _apply_listing(
        self,
        records: list[KeyedRecord],
        position: FeedPosition,
        source: str,
        retained: Iterable[RetainedRecord],
    ) -> None:
        """Replace all records by a listing, with the overrides that peers retain."""
        self._position = position
        self._has_listed = True
        with self._relist_on_failure():
            rollback = self._records.replace(records, position, retained)
            if rollback is not None:
                self._log_rollback(rollback, source)
            self._consumer.apply_listing(self._records.effective, source)
            self._must_relist = False
        self._listeners.notify(self)

    def _read(self, position: FeedPosition) -> Fault | None:
        # No long poll during an outage: it would notice the store's return only at the next record.
        is_urgent = self._failures or self._is_urgent
        self._must_confirm, self._was_urgent = False, bool(is_urgent)
        wait = 0.0 if is_urgent else self._rng.uniform(MIN_POLL_SECONDS, MAX_POLL_SECONDS)
        self._poll_ends_at = self._clock.now() + wait
        self._watch.begin_read(self._poll_ends_at)
        result = self._feed.read(position.offset, self._poll_ends_at)
        self._watch.end_read()
        match result:
            case Ok(batch):
                if not self._era.accept(batch.position.era):
                    return None
                self._watch.record_answer()
                if batch.position.era > position.era or batch.position < position:
                    # The store was rolled back, so a read from here on would skip records.
                    return self._relist()
                if batch.position > self.position:
                    self._apply_batch(batch)
                    self._watch.record_applied()
                elif not batch.records:
                    self._watch.record_empty()
                return None
            case Err(fault):
                if fault.code is ResultCode.LOG_TRIMMED:
                    emit(logger, Event.FEED_TRIMMED, feed=self._feed.name, offset=position.offset)
                    return self._relist()
                return fault
        raise AssertionError("a result is a value or a fault")

    def _relist(self) -> Fault | None:
        # Without a pause, in which a peer that is also behind could send its older position: a read
        # from there fails again because its records were trimmed.
        self._position = None
        return self._list()

    def _apply_batch(self, batch: Batch, source: str = STORE) -> None:
        records = [record for record in batch.records if record.position >= self.position]
        self._position = batch.position
        if not records:
            return
        with self._relist_on_failure():
            changes = self._records.apply_changes(records, batch.position)
            if changes:
                self._consumer.apply_records(changes, source)
        self._listeners.notify(self)

    def _expire_retained(self) -> None:
        """Apply the store's records of keys whose overrides expired."""
        if self.store_available and (changes := self._records.expire()):
            self._consumer.apply_records(changes)

    @contextmanager
    def _relist_on_failure(self) -> Iterator[None]:
        """Record an exception of the consumer, and list again what it has not applied."""
        try:
            yield
        except Exception as error:  # the task of the feed, or the peer's, goes on
            record_failure(f"feed {self.name}", error)
            self._must_relist = True

    def _log_rollback(self, rollback: Rollback, source: str) -> None:
        emit(
            logger,
            Event.FEED_FELL_BACK,
            feed=self._feed.name,
            source=source,
            era=rollback.after.era,
            offset=rollback.after.offset,
            era_before=rollback.before.era,
            offset_before=rollback.before.offset,
            lacked=rollback.missing[:MAX_KEYS_LOGGED],
            older=rollback.outdated[:MAX_KEYS_LOGGED],
            held=len(self._records.retained),
        )

    def _record_answer(self) -> None:
        if self._failures:
            emit(
                logger,
                Event.FEED_REGAINED,
                feed=self._feed.name,
                failures=self._failures,
                silent=self._elapsed_since(self._answered_at),
            )
            self._failures = 0
            self._records.restart_retention()
            self._consumer.on_store_recovered()
            self._store_listeners.notify()
        self._answered_at = self._clock.now()

    def _record_failure(self, fault: Fault) -> float:
        self._failures += 1
        self._watch.record_failure()
        if self._failures == 1:
            emit(
                logger,
                Event.FEED_LOST,
                feed=self._feed.name,
                detail=fault.detail,
                waited=self._elapsed_since(self._call_started_at),
                silent=self._elapsed_since(self._answered_at),
            )
            self._consumer.on_store_lost()
            self._store_listeners.notify()
        pause = min(MAX_RETRY_SECONDS, FIRST_RETRY_SECONDS * 2.0 ** min(self._failures, 8))
        # Routers that lost the store together must not retry together.
        spread = self._rng.uniform(0.5, 1.0)
        # A call that timed out has paused for the store already.
        waited = self._clock.now() - self._call_started_at
        return max(FIRST_RETRY_SECONDS, pause - waited) * spread

    def _elapsed_since(self, moment: float) -> float:
        return round(self._clock.now() - moment, LOG_DIGITS)
