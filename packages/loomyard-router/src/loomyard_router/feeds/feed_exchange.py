"""Hear from other routers what the store does not say to this one."""

from __future__ import annotations

import logging
import math
from typing import TYPE_CHECKING

import gevent
from gevent.event import Event as GeventEvent
from result import Ok

from loomyard.events import Event, emit
from loomyard.rendezvous import rank
from loomyard.util.waiting import wait_any
from loomyard_router.feeds.exchange_messages import FeedAnswer, FeedRequest, FeedWait
from loomyard_router.feeds.feed_follower import LOG_DIGITS
from loomyard_router.feeds.feed_state import FeedState

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from loomyard.clock import Clock
    from loomyard_router.feeds.feed_follower import FeedFollower
    from loomyard_router.members.membership import Member, Membership
    from loomyard_router.peers.links import PeerLinks

logger = logging.getLogger(__name__)

TOPIC = "feed"
ANNOUNCED_SECONDS = 60.0
REQUEST_SECONDS = 0.5
# How often a router without the store asks others, and how long one with it waits for its own read.
ASK_SECONDS = 0.4
READ_SECONDS = 0.3
# A fleet up to this size reads the store itself; a larger one through the root of its size, but at
# least as many, so that the loss of a rack leaves readers.
LEAST_READERS = 10
# A wait is short, so that a reader that stands still is noticed within a configuration's bound.
NEWS_SECONDS = 1.0
OWN_SECONDS = 5.0
MILLISECONDS = 1000


class FeedExchange:
    """Announce how far feeds were read; ask others while the store is silent or they are ahead.

    One router that reaches the store is enough for all. A router asks one other at a time, so the
    load does not grow with the fleet. In a large fleet only some routers read the store; each of
    the others waits at one of them for news, so calls to the store grow with the root of its size.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        members: Membership,
        peers: PeerLinks,
        followers: Iterable[FeedFollower],
        source: random.Random,
    ) -> None:
        self._clock = clock
        self._members = members
        self._peers = peers
        self._followers = {follower.name: follower for follower in followers}
        self._random = source
        self._heard: dict[str, int] = {}
        self._behind_since: dict[str, float] = {}
        self._asked_in_vain: dict[str, int] = {}
        self._moved = GeventEvent()
        self._own_until: dict[str, float] = {}
        self._task: gevent.Greenlet | None = None
        peers.handle(FeedRequest, self.give)
        peers.handle(FeedWait, self.give_news)

    def start(self) -> None:
        """Start to announce and to ask."""
        for follower in self._followers.values():
            follower.subscribe(self._announce)
            follower.subscribe_store(self._wake)
            follower.read_through(self)
        self._members.subscribe_topic(TOPIC, self._hear)
        self._task = gevent.spawn(self._run)

    def stop(self) -> None:
        """End."""
        if self._task is not None:
            self._task.kill(block=False)

    def states(self) -> list[FeedState]:
        """Return how far this router has come in each feed."""
        now = self._clock.now()
        return [
            FeedState(
                name=name,
                next_offset=follower.next_offset,
                announced_offset=self._heard.get(name, -1),
                silent=now - follower.answered_at,
            )
            for name, follower in self._followers.items()
        ]

    def give(self, _: Member, request: FeedRequest) -> FeedAnswer:
        """Answer another router."""
        follower = self._followers.get(request.feed)
        if follower is None or follower.next_offset <= request.beyond:
            return FeedAnswer()
        return FeedAnswer(next_offset=follower.next_offset, records=follower.records)

    def give_news(self, _: Member, request: FeedWait) -> FeedAnswer:
        """Answer a router that waits for news here."""
        follower = self._followers.get(request.feed)
        if follower is None:
            return FeedAnswer(answering=False)
        deadline = self._clock.now() + request.wait / MILLISECONDS
        while (
            follower.next_offset <= request.beyond
            and follower.answering == request.answering
            and self._clock.now() < deadline
        ):
            wait_any([self._moved], deadline, self._clock)
        if follower.next_offset <= request.beyond:
            return FeedAnswer(answering=follower.answering)
        return FeedAnswer(
            next_offset=follower.next_offset,
            records=follower.records,
            answering=follower.answering,
        )

    def wait_for_news(self, follower: FeedFollower) -> FeedAnswer | None:
        """Wait at a router that reads the store; ``None`` where this one reads it itself."""
        now = self._clock.now()
        if now < self._own_until.get(follower.name, 0.0):
            return None
        own = self._members.own.name
        names = [member.name for member in self._members.live()]
        count = max(LEAST_READERS, math.ceil(math.sqrt(len(names))))
        if len(names) <= count:
            return None
        readers = rank(f"reader of {follower.name}", names)[:count]
        if own in readers:
            return None
        request = FeedWait(
            feed=follower.name,
            beyond=follower.next_offset,
            wait=int(NEWS_SECONDS * MILLISECONDS),
            answering=follower.answering,
        )
        reader = rank(own, readers)[0]
        deadline = self._clock.now() + NEWS_SECONDS + REQUEST_SECONDS
        match self._peers.request(reader, request, deadline):
            case Ok(FeedAnswer() as answer) if answer.answering:
                return answer
        # Trying a second reader would take this one past the bound on a configuration.
        self._own_until[follower.name] = self._clock.now() + OWN_SECONDS
        return None

    def step(self) -> None:
        """Ask another router for each feed that this one may lack something of."""
        now = self._clock.now()
        for name, follower in self._followers.items():
            if self._heard.get(name, -1) <= follower.next_offset:
                self._behind_since.pop(name, None)
                behind = False
            else:
                behind = now - self._behind_since.setdefault(name, now) >= READ_SECONDS
            if behind or not follower.caught_up or not follower.answering:
                self._ask(name, follower)

    def _ask(self, name: str, follower: FeedFollower) -> None:
        own = self._members.own.name
        others = [member.name for member in self._members.live() if member.name != own]
        if not others:
            return
        peer = self._random.choice(others)
        request = FeedRequest(feed=name, beyond=follower.next_offset)
        now = self._clock.now()
        match self._peers.request(peer, request, now + REQUEST_SECONDS):
            case Ok(FeedAnswer() as answer) if answer.next_offset > follower.next_offset:
                emit(
                    logger,
                    Event.FEED_HEARD,
                    feed=name,
                    peer=peer,
                    offset=answer.next_offset,
                    before=follower.next_offset,
                    behind=round(now - self._behind_since.get(name, now), LOG_DIGITS),
                    in_vain=self._asked_in_vain.pop(name, 0),
                )
                follower.take_over(answer.records, answer.next_offset)
            case _:
                self._asked_in_vain[name] = self._asked_in_vain.get(name, 0) + 1

    def _wake(self) -> None:
        moved, self._moved = self._moved, GeventEvent()
        moved.set()

    def _announce(self, follower: FeedFollower) -> None:
        self._wake()
        until = self._clock.now() + ANNOUNCED_SECONDS
        self._members.announce(TOPIC, follower.name, follower.next_offset, until=until)

    def _hear(self, name: str, offset: int) -> None:
        self._heard[name] = max(offset, self._heard.get(name, -1))

    def _run(self) -> None:
        while True:
            self._clock.sleep(ASK_SECONDS * self._random.uniform(0.7, 1.3))
            self.step()
