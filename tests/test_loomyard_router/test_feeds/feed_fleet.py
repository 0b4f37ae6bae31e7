"""Routers that follow feeds of a store, in one process and on a stepped clock."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from attrs import define, field

from loomyard.clock import Clock
from loomyard_router.feeds.feed_exchange import FeedExchange
from loomyard_router.feeds.feed_follower import FeedFollower
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
    name: str, clock: Clock, datagrams: DatagramNetwork, *, seed: int
) -> SwimMembership:
    """Make the membership of a router of a fleet that finds itself at ``r0``."""
    own = Member(name=name, incarnation=1, address=f"{name}:1", data_centre="")
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

    def take_listing(self, records: list[KeyedRecord], source: str) -> None:
        self.take_records(records)

    def take_records(self, records: list[KeyedRecord]) -> None:
        for record in records:
            if record.value is not None:
                self.at.setdefault(record.value, self.clock.now())

    def note_lost(self) -> None:
        pass

    def note_regained(self) -> None:
        pass


@define(eq=False)
class Router:
    """One router's part in the feeds."""

    members: SwimMembership
    exchange: FeedExchange
    followers: dict[str, FeedFollower]
    feeds: dict[str, MemoryStoreFeed]
    arrivals: dict[str, Arrivals]

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
        for store in self.stores.values():
            store.publish("key", b"first")
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

    def last_arrival(self, feed: str, value: bytes) -> float:
        """Return when the last router had a value, infinity where one has it not."""
        return max(
            router.arrivals[feed].at.get(value, float("inf")) for router in self.routers.values()
        )

    def _make(self, number: int) -> Router:
        name = f"r{number}"
        source = random.Random(f"{self._seed} {name}")
        members = make_members(name, self.clock, self._datagrams, seed=self._seed + number)
        feeds = {feed: MemoryStoreFeed(store, name) for feed, store in self.stores.items()}
        arrivals = {feed: Arrivals(self.clock) for feed in feeds}
        followers = {
            feed: FeedFollower(feeds[feed], arrivals[feed], self.clock, source, pace=PACE)
            for feed in feeds
        }
        exchange = FeedExchange(
            clock=self.clock,
            members=members,
            peers=self.network.join(members.own),
            followers=followers.values(),
            source=source,
        )
        return Router(members, exchange, followers, feeds, arrivals)
