"""Exchange the records of feeds with other routers, so that not each has to reach the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gevent.event import Event as GeventEvent
from result import Ok

from loomyard.rendezvous import rank
from loomyard.util.waiting import wait_any
from loomyard_router.feeds.exchange_messages import FeedAnswer, FeedPoll, FeedRequest
from loomyard_router.feeds.feed_position import NO_POSITION, decode_position
from loomyard_router.feeds.peer_fetcher import MILLISECONDS, REQUEST_SECONDS, PeerFetcher
from loomyard_router.feeds.peer_source import READER_POLL_SECONDS
from loomyard_router.feeds.read_guard import ReadGuard

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from loomyard.clock import Clock
    from loomyard_router.feeds.effective_records import RetainedRecord
    from loomyard_router.feeds.feed_follower import FeedFollower
    from loomyard_router.feeds.feed_state import FeedState
    from loomyard_router.lag.lagging_routers import RouterFitness
    from loomyard_router.members.membership import Member, Membership
    from loomyard_router.peers.links import PeerLinks

TOPIC = "feed"
ANNOUNCEMENT_SECONDS = 60.0
# For how long a router reads the store itself after its reader failed.
DIRECT_READ_SECONDS = 5.0
# Of the routers that poll a reader whose read is late, so many are sent to the store at once, and
# the others when the read is overdue. Where no reader reaches the store, a change then reaches the
# last of 19 to 60 routers within 1.9 s; without early reads it takes 2.4 to 2.9 s, as the few
# routers that do reach the store read the change late.
MAX_EARLY_READS = 2
# For the answer of a router that is asked for what it has.
URGENT_SECONDS = 0.15


class FeedExchange:
    """Announce how far feeds were read, answer other routers and get records from them.

    One router that reaches the store is enough for all. In a large fleet only some routers read the
    store and each of the others polls one of these, so that calls to the store grow with the square
    root of the fleet's size.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        members: Membership,
        peers: PeerLinks,
        followers: Iterable[FeedFollower],
        rng: random.Random,
        fitness: RouterFitness | None = None,
    ) -> None:
        self._clock = clock
        self._members = members
        self._peers = peers
        self._followers = {follower.name: follower for follower in followers}
        self._guards = {
            name: ReadGuard(clock, (follower,)) for name, follower in self._followers.items()
        }
        self._fetchers = {
            name: PeerFetcher(
                clock=clock,
                members=members,
                peers=peers,
                follower=follower,
                rng=rng,
                fitness=fitness,
            )
            for name, follower in self._followers.items()
        }
        self._changed = GeventEvent()
        self._read_store_until: dict[str, float] = {}
        # By feed: the start of the read that is late, and how many routers were sent to the store.
        self._early_reads: dict[str, tuple[float, int]] = {}
        peers.handle(FeedRequest, self.answer_request)
        peers.handle(FeedPoll, self.answer_poll)

    def start(self) -> None:
        """Start to announce positions and to fetch from peers."""
        for follower in self._followers.values():
            follower.subscribe(self._announce)
            follower.subscribe_store(self._wake_polls)
            follower.set_peer_source(self)
        self._members.subscribe_topic(TOPIC, self._receive_announcement)
        for fetcher in self._fetchers.values():
            fetcher.start()

    def stop(self) -> None:
        """End the tasks."""
        for fetcher in self._fetchers.values():
            fetcher.stop()

    def states(self) -> list[FeedState]:
        """Return how far this router has read each feed."""
        return [fetcher.state for fetcher in self._fetchers.values()]

    def answer_request(self, _: Member, request: FeedRequest) -> FeedAnswer:
        """Answer another router with what this one has, without waiting."""
        follower = self._followers.get(request.feed)
        if follower is None:
            return FeedAnswer(store_available=False)
        follower.era.observe(request.era)
        newer = follower.position > request.since
        changes = follower.changes_since(request.since) if newer else []
        return FeedAnswer(
            position=follower.position if newer else NO_POSITION,
            records=follower.records if changes is None else changes,
            store_available=_reaches_store(follower),
            era=follower.era.newest,
            retained=follower.retained,
            is_delta=changes is not None,
        )

    def answer_poll(self, sender: Member, request: FeedPoll) -> FeedAnswer:
        """Answer a long poll of another router."""
        follower = self._followers.get(request.feed)
        deadline = self._clock.now() + request.wait / MILLISECONDS
        if follower is not None:
            follower.era.observe(request.era)
        while (
            follower is not None
            and follower.position <= request.since
            and _reaches_store(follower) == request.store_available
            and self._clock.now() < deadline
        ):
            if self._claim_early_read(follower):
                return FeedAnswer(store_available=False)
            # Wake as soon as the read is late or overdue, to tell the polling router.
            until = deadline if follower.read_overdue else min(deadline, follower.overdue_at)
            if self._clock.now() < follower.late_at:
                until = min(until, follower.late_at)
            wait_any([self._changed], until, self._clock)
        if follower is not None:
            # This router may have stood still as well.
            self._guards[request.feed].ensure()
        return self.answer_request(sender, FeedRequest(feed=request.feed, since=request.since))

    def fetch_retained(self, follower: FeedFollower) -> list[RetainedRecord]:
        """Fetch the records that override the store at other routers."""
        return self._fetchers[follower.name].fetch_retained()

    def _claim_early_read(self, follower: FeedFollower) -> bool:
        """Tell whether a polling router is to read the store itself, and count it if so."""
        if not follower.late_at <= self._clock.now() < follower.overdue_at:
            return False
        read_started_at, count = self._early_reads.get(follower.name, (-1.0, 0))
        count = count if read_started_at == follower.call_started_at else 0
        if count >= MAX_EARLY_READS:
            return False
        self._early_reads[follower.name] = (follower.call_started_at, count + 1)
        return True

    def poll(
        self, follower: FeedFollower, seconds: float = READER_POLL_SECONDS
    ) -> FeedAnswer | None:
        """Poll a router that reads the store; ``None`` where this one is to read it itself."""
        if self._clock.now() < self._read_store_until.get(follower.name, 0.0):
            return None
        own = self._members.own.name
        readers = self._fetchers[follower.name].readers
        if own in readers:
            return None
        request = FeedPoll(
            feed=follower.name,
            since=follower.position,
            wait=int(seconds * MILLISECONDS),
            store_available=follower.store_available,
            era=follower.era.newest,
        )
        reader = rank(own, readers)[0]
        # Decisions wait for a poll that the other router is to answer at once; the store is next.
        margin = REQUEST_SECONDS if seconds else URGENT_SECONDS
        deadline = self._clock.now() + seconds + margin
        match self._peers.request(reader, request, deadline):
            case Ok(FeedAnswer() as answer) if answer.store_available:
                follower.era.observe(answer.era)
                return answer
        # A second reader is not tried: a configuration would be in force too late.
        self._read_store_until[follower.name] = self._clock.now() + DIRECT_READ_SECONDS
        return None

    def _wake_polls(self) -> None:
        changed, self._changed = self._changed, GeventEvent()
        changed.set()

    def _announce(self, follower: FeedFollower) -> None:
        self._wake_polls()
        until = self._clock.now() + ANNOUNCEMENT_SECONDS
        self._members.announce(TOPIC, follower.name, follower.position.number, until=until)

    def _receive_announcement(self, name: str, number: int) -> None:
        fetcher = self._fetchers.get(name)
        if fetcher is not None:
            fetcher.record_announced(decode_position(number))


def _reaches_store(follower: FeedFollower) -> bool:
    return follower.store_available and not follower.read_overdue
