"""Fetch the records of a feed from other routers where this one can't read them in the store."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from gevent.event import Event as GeventEvent
from result import Ok

from loomyard.events import Event, emit
from loomyard_router.feeds.exchange_messages import FeedAnswer, FeedPoll, FeedRequest
from loomyard_router.feeds.feed_follower import LOG_DIGITS
from loomyard_router.feeds.feed_position import NO_POSITION, FeedPosition
from loomyard_router.feeds.feed_readers import choose_readers
from loomyard_router.feeds.feed_state import FeedState
from loomyard_router.lag.lagging_routers import AllFit
from loomyard_router.supervision.tasks import start_supervised

if TYPE_CHECKING:
    import random

    import gevent

    from loomyard.clock import Clock
    from loomyard_router.feeds.effective_records import RetainedRecord
    from loomyard_router.feeds.feed_follower import FeedFollower
    from loomyard_router.lag.lagging_routers import RouterFitness
    from loomyard_router.members.membership import Membership
    from loomyard_router.peers.links import PeerLinks

logger = logging.getLogger(__name__)

# Seconds until another router has to answer, beyond the end of a long poll.
REQUEST_SECONDS = 0.5
# Seconds between searches for a router that reaches the store.
SEARCH_INTERVAL = 0.4
# Seconds that a router which is behind leaves to its own read before it asks peers: reads that
# return records are half a second apart, and an announcement takes as long to spread.
OWN_READ_SECONDS = 0.3
# Seconds of a long poll at another router, which answers at once when it gets records.
POLL_SECONDS = 1.0
# Routers tried in one search. Where six of seven lack the store, the one that reaches it is found
# in two searches; more tries would cost more messages in an outage for all.
MAX_TRIES = 3
# Other routers tried besides the readers: they read for themselves where no reader has the store.
MAX_NON_READERS = 3
MILLISECONDS = 1000
# Within so many seconds a router that starts learns of others, if there are any.
PEER_DISCOVERY_SECONDS = 0.6


class PeerFetcher:
    """Fetch one feed from other routers while this one lacks the store or is behind in the feed.

    A router without the store long polls one that has it. A router whose own read hangs learns from
    announcements that it is behind, and asks others in turn until one has the newer records.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        members: Membership,
        peers: PeerLinks,
        follower: FeedFollower,
        rng: random.Random,
        fitness: RouterFitness | None = None,
    ) -> None:
        self._clock = clock
        self._members = members
        self._fitness = fitness or AllFit()
        self._peers = peers
        self._follower = follower
        self._rng = rng
        self._announced = NO_POSITION
        self._behind_since: float | None = None
        self._behind = GeventEvent()
        self._store_changed = GeventEvent()
        self._fruitless_requests = 0
        self._source = ""
        self._untried: list[str] = []
        self._tasks: list[gevent.Greenlet] = []

    @property
    def state(self) -> FeedState:
        """Return how far this router has read the feed."""
        follower = self._follower
        return FeedState(
            name=follower.name,
            position=follower.position,
            announced=self._announced,
            silent_seconds=self._clock.now() - follower.answered_at,
            dropped=follower.era.dropped,
        )

    @property
    def _is_behind(self) -> bool:
        return self._announced > self._follower.position

    @property
    def readers(self) -> list[str]:
        """Return the routers that read the feed from the store."""
        names = [member.name for member in self._members.live()]
        return choose_readers(self._follower.name, self._fitness.fit(names))

    def start(self) -> None:
        """Start the tasks."""
        self._follower.subscribe_store(self._store_changed.set)
        self._tasks = [
            start_supervised(f"fetch of {self._follower.name}", self._clock, run)
            for run in (self._run_catch_up, self._run_without_store)
        ]

    def stop(self) -> None:
        """End the tasks."""
        for task in self._tasks:
            task.kill(block=False)

    def record_announced(self, position: FeedPosition) -> None:
        """Record that some router has read up to a position."""
        self._announced = max(self._announced, position)
        self._follower.era.observe(position.era)
        if self._is_behind and self._behind_since is None:
            self._behind_since = self._clock.now()
            self._behind.set()

    def fetch_retained(self) -> list[RetainedRecord]:
        """Fetch the records that override the store at some routers, once any are known."""
        until = self._clock.now() + PEER_DISCOVERY_SECONDS
        while not self._candidates() and self._clock.now() < until:
            self._clock.sleep(PEER_DISCOVERY_SECONDS / 10)
        retained: dict[str, RetainedRecord] = {}
        for peer in self._candidates()[:MAX_TRIES]:
            answer = self._request(peer, self._make_request(), self._clock.now() + REQUEST_SECONDS)
            if answer is not None:
                retained |= {one.record.key: one for one in answer.retained}
        return list(retained.values())

    def _run_catch_up(self) -> None:
        while True:
            self._behind.wait()
            self._clock.sleep(OWN_READ_SECONDS)
            if self._is_behind:
                self._catch_up_from_peers()
            if not self._is_behind:
                self._behind_since = None
                self._behind.clear()

    def _run_without_store(self) -> None:
        follower = self._follower
        while True:
            if follower.has_position and follower.store_available:
                self._store_changed.clear()
                self._store_changed.wait()
            elif not self._poll_source():
                self._clock.sleep(SEARCH_INTERVAL * self._rng.uniform(0.7, 1.3))

    def _catch_up_from_peers(self) -> None:
        """Ask one router after the other until this one is no longer behind."""
        for peer in self._candidates():
            if not self._is_behind:
                return
            request = self._make_request()
            self._request(peer, request, self._clock.now() + REQUEST_SECONDS)

    def _poll_source(self) -> bool:
        """Long poll the router known to have the store, or try some; false where none has it."""
        for _ in range(MAX_TRIES):
            peer = self._source or self._next_untried()
            if not peer:
                return False
            request = FeedPoll(
                feed=self._follower.name,
                since=self._follower.position,
                wait=int(POLL_SECONDS * MILLISECONDS),
                era=self._follower.era.newest,
            )
            deadline = self._clock.now() + POLL_SECONDS + REQUEST_SECONDS
            answer = self._request(peer, request, deadline)
            if answer is not None and answer.store_available:
                self._source = peer
                return True
            self._source = ""
        return False

    def _request(
        self, peer: str, request: FeedRequest | FeedPoll, deadline: float
    ) -> FeedAnswer | None:
        match self._peers.request(peer, request, deadline):
            case Ok(FeedAnswer() as answer):
                self._apply_answer(peer, answer)
                return answer
        self._fruitless_requests += 1
        return None

    def _apply_answer(self, peer: str, answer: FeedAnswer) -> None:
        follower = self._follower
        if answer.position <= follower.position or not follower.era.accept(answer.position.era):
            self._fruitless_requests += 1
            return
        since = self._behind_since
        behind = 0.0 if since is None else self._clock.now() - since
        emit(
            logger,
            Event.FEED_HEARD,
            feed=follower.name,
            peer=peer,
            offset=answer.position.offset,
            before=follower.position.offset,
            era=answer.position.era,
            behind=round(behind, LOG_DIGITS),
            in_vain=self._fruitless_requests,
        )
        self._fruitless_requests = 0
        follower.apply_answer(answer)

    def _make_request(self) -> FeedRequest:
        follower = self._follower
        return FeedRequest(feed=follower.name, since=follower.position, era=follower.era.newest)

    def _next_untried(self) -> str:
        """Return the next candidate; each is tried once before any is tried again."""
        if not self._untried:
            self._untried = self._candidates()
        return self._untried.pop(0) if self._untried else ""

    def _candidates(self) -> list[str]:
        """Return the other readers in random order, then some other routers."""
        own = self._members.own.name
        names = [member.name for member in self._members.live()]
        readers = self.readers
        rest = [name for name in names if name != own and name not in readers]
        other_readers = [name for name in readers if name != own]
        self._rng.shuffle(other_readers)
        return other_readers + self._rng.sample(rest, min(MAX_NON_READERS, len(rest)))
