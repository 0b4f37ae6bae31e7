"""Hear from other routers what the store does not say to this one."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import gevent
from result import Ok

from loomyard.events import Event, emit
from loomyard_router.feeds.exchange_messages import FeedAnswer, FeedRequest

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


class FeedExchange:
    """Announce how far feeds were read; ask others while the store is silent or they are ahead.

    One router that reaches the store is enough for all. A router asks one other at a time, so the
    load does not grow with the fleet.
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
        self._task: gevent.Greenlet | None = None
        peers.handle(FeedRequest, self.give)

    def start(self) -> None:
        """Start to announce and to ask."""
        for follower in self._followers.values():
            follower.subscribe(self._announce)
        self._members.subscribe_topic(TOPIC, self._hear)
        self._task = gevent.spawn(self._run)

    def stop(self) -> None:
        """End."""
        if self._task is not None:
            self._task.kill(block=False)

    def give(self, _: Member, request: FeedRequest) -> FeedAnswer:
        """Answer another router."""
        follower = self._followers.get(request.feed)
        if follower is None or follower.next_offset <= request.beyond:
            return FeedAnswer()
        return FeedAnswer(next_offset=follower.next_offset, records=follower.records)

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
        deadline = self._clock.now() + REQUEST_SECONDS
        match self._peers.request(peer, request, deadline):
            case Ok(FeedAnswer() as answer) if answer.next_offset > follower.next_offset:
                emit(
                    logger,
                    Event.FEED_HEARD,
                    feed=name,
                    peer=peer,
                    offset=answer.next_offset,
                    before=follower.next_offset,
                )
                follower.take_over(answer.records, answer.next_offset)

    def _announce(self, follower: FeedFollower) -> None:
        until = self._clock.now() + ANNOUNCED_SECONDS
        self._members.announce(TOPIC, follower.name, follower.next_offset, until=until)

    def _hear(self, name: str, offset: int) -> None:
        self._heard[name] = max(offset, self._heard.get(name, -1))

    def _run(self) -> None:
        while True:
            self._clock.sleep(ASK_SECONDS * self._random.uniform(0.7, 1.3))
            self.step()
