"""Routers that follow feeds of a store, in one process and on a stepped clock."""

from __future__ import annotations

import random
from collections import Counter
from typing import TYPE_CHECKING

from attrs import define, field

from loomyard.clock import Clock
from loomyard_router.feeds.feed_exchange import FeedExchange
from loomyard_router.feeds.feed_follower import FeedFollower
from loomyard_router.feeds.record_consumer import STORE, RecordConsumer
from loomyard_router.feeds.rollback_policy import RollbackPolicy, StoreIsRight
from loomyard_router.members.datagram_seal import DatagramSeal
from loomyard_router.members.membership import Member
from loomyard_router.members.swim import SwimMembership
from loomyard_router.peers.fleet_secret import make_fleet_secret
from loomyard_router.peers.traffic import TrafficCounters
from loomyard_standins.memory_datagrams import DatagramNetwork
from loomyard_standins.memory_network import MemoryNetwork
from loomyard_standins.memory_store import MemoryStore, MemoryStoreFeed
from loomyard_standins.stepped_clock import SteppedClock

if TYPE_CHECKING:
    from loomyard_router.feeds.keyed_record import KeyedRecord

FEEDS = ("configuration", "targets")
# Reads that bring something are that far apart on the platform.
PACE = 0.5
# By then all routers know each other.
SETTLED = 6.0


def make_members(
    name: str, clock: Clock, datagrams: DatagramNetwork, *, seed: int, incarnation: int = 1
) -> SwimMembership:
    """Make the membership of a router of a fleet that finds itself at ``r0``."""
    own = Member(name=name, incarnation=incarnation, address=f"{name}:1", data_centre="")
    return SwimMembership(
        own=own,
        datagrams=datagrams.join(own.address),
        seal=DatagramSeal(make_fleet_secret(["secret"]), clock),
        clock=clock,
        traffic=TrafficCounters(),
        seeds=("r0:1",),
        seed=seed,
    )


@define(eq=False)
class Arrivals:
    """A taker that notes when each value arrived first."""

    clock: Clock
    at: dict[bytes, float] = field(factory=dict)

    def apply_listing(self, records: list[KeyedRecord], source: str) -> None:
        self.apply_records(records)

    def apply_records(self, records: list[KeyedRecord], source: str = STORE) -> None:
        for record in records:
            if record.value is not None:
                self.at.setdefault(record.value, self.clock.now())

    def on_store_lost(self) -> None:
        pass

    def on_store_recovered(self) -> None:
        pass


@define(eq=False)
class Router:
    """One router's part in the feeds."""

    members: SwimMembership
    exchange: FeedExchange
    followers: dict[str, FeedFollower]
    feeds: dict[str, MemoryStoreFeed]
    takers: dict[str, RecordConsumer]

    def start(self) -> None:
        self.members.start()
        self.exchange.start()
        for follower in self.followers.values():
            follower.start()

    def stop(self) -> None:
        for follower in self.followers.values():
            follower.stop()
        self.exchange.stop()
        self.members.stop()


class FeedFleet:
    """Routers whose names begin with ``r``; they start at once."""

    def __init__(self, count: int, *, seed: int = 1) -> None:
        self.clock = SteppedClock()
        self.stores = {name: MemoryStore(name, self.clock) for name in FEEDS}
        self.network = MemoryNetwork(seed=seed)
        self._datagrams = DatagramNetwork(seed=seed)
        self._seed = seed
        self._starts: Counter[str] = Counter()
        self.publish_first()
        self.routers = {f"r{number}": self._make(number) for number in range(count)}
        for router in self.routers.values():
            router.start()
        self.run(SETTLED)

    @property
    def calls(self) -> int:
        """Return how many calls the stores got."""
        return sum(feed.calls for router in self.routers.values() for feed in router.feeds.values())

    def run(self, seconds: float) -> None:
        """Let time pass."""
        self.clock.run(self.clock.now() + seconds)

    def stop(self) -> None:
        """End all tasks."""
        for router in self.routers.values():
            router.stop()
        self.run(0.0)

    def publish_first(self) -> None:
        """Write what stands there before the first router starts."""
        for store in self.stores.values():
            store.publish("key", b"first")

    def make_taker(self, feed: str) -> RecordConsumer:
        """Make what takes the records of a feed at one router."""
        return Arrivals(self.clock)

    def make_losses(self, feed: str) -> RollbackPolicy:
        """Make the policy of a feed for a store that fell back."""
        return StoreIsRight()

    def note_made(self, name: str) -> None:
        """Take in that the parts of a router were made."""

    def last_arrival(self, feed: str, value: bytes) -> float:
        """Return when the last router had a value, infinity where one has it not."""
        arrived = []
        for router in self.routers.values():
            taker = router.takers[feed]
            assert isinstance(taker, Arrivals)
            arrived.append(taker.at.get(value, float("inf")))
        return max(arrived)

    def restart(self, name: str) -> None:
        """Let a router end and start again, with nothing kept."""
        self.routers[name].stop()
        self.run(0.0)
        self.routers[name] = self._make(int(name.removeprefix("r")))
        self.routers[name].start()

    def _make(self, number: int) -> Router:
        name = f"r{number}"
        source = random.Random(f"{self._seed} {name}")
        self._starts[name] += 1
        members = make_members(
            name,
            self.clock,
            self._datagrams,
            seed=self._seed + number,
            incarnation=self._starts[name],
        )
        feeds = {feed: MemoryStoreFeed(store, name) for feed, store in self.stores.items()}
        takers = {feed: self.make_taker(feed) for feed in feeds}
        followers = {
            feed: FeedFollower(
                feeds[feed],
                takers[feed],
                self.clock,
                source,
                min_read_interval=PACE,
                rollback_policy=self.make_losses(feed),
            )
            for feed in feeds
        }
        exchange = FeedExchange(
            clock=self.clock,
            members=members,
            peers=self.network.join(members.own),
            followers=followers.values(),
            source=source,
        )
        self.note_made(name)
        return Router(members, exchange, followers, feeds, takers)
