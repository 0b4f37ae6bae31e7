"""Ask other routers for a feed that the store does not tell this one."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import gevent
from gevent.event import Event as GeventEvent
from result import Ok

from loomyard.events import Event, emit
from loomyard_router.feeds.exchange_messages import FeedAnswer, FeedRequest, FeedWait
from loomyard_router.feeds.feed_follower import LOG_DIGITS
from loomyard_router.feeds.feed_position import NO_POSITION, FeedPosition
from loomyard_router.feeds.feed_readers import choose_readers
from loomyard_router.feeds.feed_state import FeedState

if TYPE_CHECKING:
    import random

    from loomyard.clock import Clock
    from loomyard_router.feeds.believed_records import HeldRecord
    from loomyard_router.feeds.feed_follower import FeedFollower
    from loomyard_router.members.membership import Membership
    from loomyard_router.peers.links import PeerLinks

logger = logging.getLogger(__name__)

# Seconds until another router has to answer, beyond the wait that it was asked for.
REQUEST_SECONDS = 0.5
# Seconds between looks for the store, and how long a router that heard of more waits for its own
# read: reads that bring something are half a second apart, and news takes as long to spread.
LOOK_SECONDS = 0.4
READ_SECONDS = 0.3
# Seconds of a wait at another router; what that one hears meanwhile it passes on at once.
WAIT_SECONDS = 1.0
# Routers that are tried in one look. Where six of seven lack the store, the one that has it is
# found in two looks; more tries would cost more messages in an outage for all.
TRIES = 3
# Others than readers that are asked, too: they read for themselves where no reader has the store.
OTHERS = 3
MILLISECONDS = 1000
# A router that starts hears of others within so long, where there are any.
MEET_SECONDS = 0.6


class FeedAsker:
    """Hear one feed from other routers while this one lacks the store or some of the feed.

    A router without the store waits at one that has it, which answers as soon as it read more. One
    whose read hangs hears what others announce, and asks them in turn until one has it.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        members: Membership,
        peers: PeerLinks,
        follower: FeedFollower,
        source: random.Random,
    ) -> None:
        self._clock = clock
        self._members = members
        self._peers = peers
        self._follower = follower
        self._random = source
        self._announced = NO_POSITION
        self._behind_since: float | None = None
        self._heard = GeventEvent()
        self._lost = GeventEvent()
        self._in_vain = 0
        self._source = ""
        self._untried: list[str] = []
        self._tasks: list[gevent.Greenlet] = []

    @property
    def state(self) -> FeedState:
        """Return how far this router has come."""
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

    def start(self) -> None:
        """Start to ask."""
        self._follower.subscribe_store(self._lost.set)
        self._tasks = [gevent.spawn(self._run_behind), gevent.spawn(self._run_without_store)]

    def stop(self) -> None:
        """End."""
        for task in self._tasks:
            task.kill(block=False)

    def note_announced(self, position: FeedPosition) -> None:
        """Take in that some router has read up to a position."""
        self._announced = max(self._announced, position)
        self._follower.era.observe(position.era)
        if self._is_behind and self._behind_since is None:
            self._behind_since = self._clock.now()
            self._heard.set()

    def ask_held(self) -> list[HeldRecord]:
        """Ask some routers what they believe against the store, once any are known."""
        until = self._clock.now() + MEET_SECONDS
        while not self._others() and self._clock.now() < until:
            self._clock.sleep(MEET_SECONDS / 10)
        held: dict[str, HeldRecord] = {}
        for peer in self._others()[:TRIES]:
            answer = self._ask(peer, self._make_request(), self._clock.now() + REQUEST_SECONDS)
            if answer is not None:
                held |= {one.record.key: one for one in answer.held}
        return list(held.values())

    def _run_behind(self) -> None:
        while True:
            self._heard.wait()
            self._clock.sleep(READ_SECONDS)
            if self._is_behind:
                self._ask_around()
            if not self._is_behind:
                self._behind_since = None
                self._heard.clear()

    def _run_without_store(self) -> None:
        follower = self._follower
        while True:
            if follower.caught_up and follower.answering:
                self._lost.clear()
                self._lost.wait()
            elif not self._wait_at_source():
                self._clock.sleep(LOOK_SECONDS * self._random.uniform(0.7, 1.3))

    def _ask_around(self) -> None:
        """Ask in turn: somebody announced more, and who has it answers at once."""
        for peer in self._others():
            if not self._is_behind:
                return
            request = self._make_request()
            self._ask(peer, request, self._clock.now() + REQUEST_SECONDS)

    def _wait_at_source(self) -> bool:
        """Wait at a router that has the store; try some where none is known."""
        for _ in range(TRIES):
            peer = self._source or self._next_untried()
            if not peer:
                return False
            request = FeedWait(
                feed=self._follower.name,
                beyond=self._follower.position,
                wait=int(WAIT_SECONDS * MILLISECONDS),
                era=self._follower.era.newest,
            )
            deadline = self._clock.now() + WAIT_SECONDS + REQUEST_SECONDS
            answer = self._ask(peer, request, deadline)
            if answer is not None and answer.answering:
                self._source = peer
                return True
            self._source = ""
        return False

    def _ask(
        self, peer: str, request: FeedRequest | FeedWait, deadline: float
    ) -> FeedAnswer | None:
        match self._peers.request(peer, request, deadline):
            case Ok(FeedAnswer() as answer):
                self._take(peer, answer)
                return answer
        self._in_vain += 1
        return None

    def _take(self, peer: str, answer: FeedAnswer) -> None:
        follower = self._follower
        if answer.position <= follower.position or not follower.era.accept(answer.position.era):
            self._in_vain += 1
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
            in_vain=self._in_vain,
        )
        self._in_vain = 0
        follower.hear(answer)

    def _make_request(self) -> FeedRequest:
        follower = self._follower
        return FeedRequest(feed=follower.name, beyond=follower.position, era=follower.era.newest)

    def _next_untried(self) -> str:
        """Return the readers first, then some others, each once before one comes again."""
        if not self._untried:
            self._untried = self._others()
        return self._untried.pop(0) if self._untried else ""

    def _others(self) -> list[str]:
        """Return the readers but this one in random order, then some other routers."""
        own = self._members.own.name
        names = [member.name for member in self._members.live()]
        readers = choose_readers(self._follower.name, names)
        rest = [name for name in names if name != own and name not in readers]
        found = [name for name in readers if name != own]
        self._random.shuffle(found)
        return found + self._random.sample(rest, min(OTHERS, len(rest)))
