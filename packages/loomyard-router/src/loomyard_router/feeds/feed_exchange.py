"""Hear from other routers what the store does not say to this one."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gevent.event import Event as GeventEvent
from result import Ok

from loomyard.rendezvous import rank
from loomyard.util.waiting import wait_any
from loomyard_router.feeds.exchange_messages import FeedAnswer, FeedRequest, FeedWait
from loomyard_router.feeds.feed_asker import MILLISECONDS, REQUEST_SECONDS, FeedAsker
from loomyard_router.feeds.feed_position import NO_POSITION, read_position
from loomyard_router.feeds.feed_readers import choose_readers

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from loomyard.clock import Clock
    from loomyard_router.feeds.believed_records import HeldRecord
    from loomyard_router.feeds.feed_follower import FeedFollower
    from loomyard_router.feeds.feed_state import FeedState
    from loomyard_router.members.membership import Member, Membership
    from loomyard_router.peers.links import PeerLinks

TOPIC = "feed"
ANNOUNCED_SECONDS = 60.0
# A wait is short, so that a reader that stands still is noticed within a configuration's bound.
NEWS_SECONDS = 1.0
OWN_SECONDS = 5.0
# Of those that wait at a reader whose read is late, as many read the store themselves at once, and
# the others when it is overdue. Where no reader has the store, a change reaches the last of 19, 24
# or 60 routers within 1.9 s, and within 2.4 to 2.9 s without them (stepped time, three seeds each),
# as the few that have the store learn of it late.
LOOKERS = 2


class FeedExchange:
    """Announce how far feeds were read, answer others, and hear from them.

    One router that reaches the store is enough for all. In a large fleet only some routers read the
    store; each of the others waits at one of them for news, so calls to the store grow with the
    root of its size.
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
        self._askers = {
            name: FeedAsker(
                clock=clock, members=members, peers=peers, follower=follower, source=source
            )
            for name, follower in self._followers.items()
        }
        self._moved = GeventEvent()
        self._own_until: dict[str, float] = {}
        # How many were sent to look, by the beginning of the read that was late.
        self._looking: dict[str, tuple[float, int]] = {}
        peers.handle(FeedRequest, self.give)
        peers.handle(FeedWait, self.give_news)

    def start(self) -> None:
        """Start to announce and to ask."""
        for follower in self._followers.values():
            follower.subscribe(self._announce)
            follower.subscribe_store(self._wake)
            follower.read_through(self)
        self._members.subscribe_topic(TOPIC, self._hear)
        for asker in self._askers.values():
            asker.start()

    def stop(self) -> None:
        """End."""
        for asker in self._askers.values():
            asker.stop()

    def states(self) -> list[FeedState]:
        """Return how far this router has come in each feed."""
        return [asker.state for asker in self._askers.values()]

    def give(self, _: Member, request: FeedRequest) -> FeedAnswer:
        """Answer another router at once."""
        follower = self._followers.get(request.feed)
        if follower is None:
            return FeedAnswer(answering=False)
        follower.era.observe(request.era)
        newer = follower.position > request.beyond
        changes = follower.changes_since(request.beyond) if newer else []
        return FeedAnswer(
            position=follower.position if newer else NO_POSITION,
            records=follower.records if changes is None else changes,
            answering=_has_store(follower),
            era=follower.era.newest,
            held=follower.held,
            changes=changes is not None,
        )

    def give_news(self, sender: Member, request: FeedWait) -> FeedAnswer:
        """Answer a router that waits for news here."""
        follower = self._followers.get(request.feed)
        deadline = self._clock.now() + request.wait / MILLISECONDS
        if follower is not None:
            follower.era.observe(request.era)
        while (
            follower is not None
            and follower.position <= request.beyond
            and _has_store(follower) == request.answering
            and self._clock.now() < deadline
        ):
            if self._sends_to_look(follower):
                return FeedAnswer(answering=False)
            # Who waits hears of a read that hangs as soon as it seems to.
            until = deadline if follower.hangs else min(deadline, follower.overdue_at)
            if self._clock.now() < follower.late_at:
                until = min(until, follower.late_at)
            wait_any([self._moved], until, self._clock)
        return self.give(sender, FeedRequest(feed=request.feed, beyond=request.beyond))

    def ask_held(self, follower: FeedFollower) -> list[HeldRecord]:
        """Ask other routers what they believe against the store."""
        return self._askers[follower.name].ask_held()

    def _sends_to_look(self, follower: FeedFollower) -> bool:
        """Tell whether one that waits is to look for itself whether the store answers it."""
        if not follower.late_at <= self._clock.now() < follower.overdue_at:
            return False
        read, looking = self._looking.get(follower.name, (-1.0, 0))
        looking = looking if read == follower.asked_at else 0
        if looking >= LOOKERS:
            return False
        self._looking[follower.name] = (follower.asked_at, looking + 1)
        return True

    def wait_for_news(self, follower: FeedFollower) -> FeedAnswer | None:
        """Wait at a router that reads the store; ``None`` where this one reads it itself."""
        if self._clock.now() < self._own_until.get(follower.name, 0.0):
            return None
        own = self._members.own.name
        readers = choose_readers(follower.name, [member.name for member in self._members.live()])
        if own in readers:
            return None
        request = FeedWait(
            feed=follower.name,
            beyond=follower.position,
            wait=int(NEWS_SECONDS * MILLISECONDS),
            answering=follower.answering,
            era=follower.era.newest,
        )
        reader = rank(own, readers)[0]
        deadline = self._clock.now() + NEWS_SECONDS + REQUEST_SECONDS
        match self._peers.request(reader, request, deadline):
            case Ok(FeedAnswer() as answer) if answer.answering:
                follower.era.observe(answer.era)
                return answer
        # Trying a second reader would take this one past the bound on a configuration.
        self._own_until[follower.name] = self._clock.now() + OWN_SECONDS
        return None

    def _wake(self) -> None:
        moved, self._moved = self._moved, GeventEvent()
        moved.set()

    def _announce(self, follower: FeedFollower) -> None:
        self._wake()
        until = self._clock.now() + ANNOUNCED_SECONDS
        self._members.announce(TOPIC, follower.name, follower.position.number, until=until)

    def _hear(self, name: str, number: int) -> None:
        asker = self._askers.get(name)
        if asker is not None:
            asker.note_announced(read_position(number))


def _has_store(follower: FeedFollower) -> bool:
    return follower.answering and not follower.hangs
