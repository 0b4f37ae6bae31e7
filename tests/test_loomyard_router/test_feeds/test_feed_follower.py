"""Tests of following a feed, and of hearing it from other routers."""

from __future__ import annotations

import random
import unittest

from attrs import define, field
from result import Err, Ok, Result

from loomyard.errors import Fault, ResultCode
from loomyard_router.feeds.exchange_messages import FeedRequest
from loomyard_router.feeds.feed import Batch, Listing
from loomyard_router.feeds.feed_exchange import FeedExchange
from loomyard_router.feeds.feed_follower import (
    LONGEST_PAUSE,
    PEER,
    STORE,
    FeedFollower,
)
from loomyard_router.feeds.keyed_record import KeyedRecord
from loomyard_router.members.membership import Member, SoleMembership
from loomyard_standins.fake_clock import FakeClock
from loomyard_standins.memory_network import MemoryNetwork

GONE = Fault(code=ResultCode.LOG_TRIMMED, detail="gone")
PACE = 0.5
DOWN = Fault(code=ResultCode.LOG_UNAVAILABLE, detail="down")


@define(eq=False)
class ScriptedFeed:
    """Answer calls in turn."""

    listings: list[Result[Listing, Fault]] = field(factory=list)
    batches: list[Result[Batch, Fault]] = field(factory=list)
    asked: list[int] = field(factory=list)
    waits: list[float] = field(factory=list)
    name: str = "feed"

    def newest(self, deadline: float) -> Result[Listing, Fault]:
        return self.listings.pop(0)

    def read(self, offset: int, wait_until: float) -> Result[Batch, Fault]:
        self.asked.append(offset)
        self.waits.append(wait_until)
        return self.batches.pop(0)


@define(eq=False)
class Taken:
    """What a taker was told."""

    told: list[object] = field(factory=list)

    def take_listing(self, records: list[KeyedRecord], source: str) -> None:
        self.told.append((source, [record.key for record in records]))

    def take_records(self, records: list[KeyedRecord]) -> None:
        self.told.append([record.key for record in records])

    def note_lost(self) -> None:
        self.told.append("lost")

    def note_regained(self) -> None:
        self.told.append("regained")


def record(key: str, offset: int, value: bytes | None = b"v") -> KeyedRecord:
    return KeyedRecord(key=key, value=value, offset=offset)


class TestFeedFollower(unittest.TestCase):
    def setUp(self) -> None:
        self.feed = ScriptedFeed()
        self.taken = Taken()
        self.follower = FeedFollower(
            self.feed, self.taken, FakeClock(), random.Random(1), pace=PACE
        )

    def list_to(self, offset: int) -> None:
        self.feed.listings.append(Ok(Listing(records=[record("a", 0)], next_offset=offset)))
        self.assertEqual(PACE, self.follower.step())

    def test_lists_once_and_reads_on(self) -> None:
        self.list_to(3)
        self.feed.batches = [
            Ok(Batch(records=[], next_offset=3)),
            Ok(Batch(records=[record("b", 3)], next_offset=4)),
            Ok(Batch(records=[], next_offset=4)),
        ]
        for _ in range(3):
            self.follower.step()
        self.assertEqual([3, 3, 4], self.feed.asked)
        self.assertEqual([(STORE, ["a"]), ["b"]], self.taken.told)
        self.assertEqual(["a", "b"], [one.key for one in self.follower.records])

    def test_lists_again_where_records_are_gone(self) -> None:
        self.list_to(3)
        self.feed.batches = [Err(GONE)]
        self.list_to(9)
        self.assertEqual([(STORE, ["a"]), (STORE, ["a"])], self.taken.told)
        self.assertEqual(9, self.follower.next_offset)

    def test_another_router_that_is_behind_does_not_keep_it_from_listing(self) -> None:
        self.list_to(3)
        for number in range(3):
            self.feed.batches.append(Err(GONE))
            self.list_to(10 + number)
            self.follower.take_over([record("a", 0)], 3)
            self.assertEqual(10 + number, self.follower.next_offset)

    def test_pauses_while_the_store_is_away_and_tells_once(self) -> None:
        self.list_to(3)
        self.feed.batches = [Err(DOWN)] * 9 + [Ok(Batch(records=[], next_offset=3))]
        pauses = [self.follower.step() for _ in range(9)]
        self.assertTrue(all(0 < pause <= LONGEST_PAUSE for pause in pauses))
        self.assertFalse(self.follower.answering)
        self.follower.step()
        self.assertTrue(self.follower.answering)
        self.assertEqual(["lost", "regained"], self.taken.told[1:])

    def test_a_store_that_is_back_is_noticed_without_waiting_for_records(self) -> None:
        self.list_to(3)
        self.feed.batches = [Err(DOWN)] + [Ok(Batch(records=[], next_offset=3))] * 2
        for _ in range(3):
            self.follower.step()
        long, short, again = self.feed.waits
        self.assertEqual(0.0, short)
        self.assertGreater(min(long, again), 1.0)

    def test_what_a_peer_read_further_is_taken_over_and_not_read_again(self) -> None:
        self.list_to(3)
        self.follower.take_over([record("a", 0), record("c", 4)], 5)
        self.assertEqual((PEER, ["a", "c"]), self.taken.told[-1])
        self.feed.batches = [Ok(Batch(records=[record("c", 4), record("d", 5)], next_offset=6))]
        self.follower.step()
        self.assertEqual([5], self.feed.asked)
        self.assertEqual(["d"], self.taken.told[-1])

    def test_what_a_peer_read_less_far_is_passed_over(self) -> None:
        self.list_to(3)
        self.follower.take_over([], 2)
        self.assertEqual(3, self.follower.next_offset)
        self.assertEqual([(STORE, ["a"])], self.taken.told)

    def test_a_dropped_key_is_forgotten(self) -> None:
        self.list_to(3)
        self.feed.batches = [Ok(Batch(records=[record("a", 3, None)], next_offset=4))]
        self.follower.step()
        self.assertEqual([], self.follower.records)


class TwoMembers(SoleMembership):
    """A membership of two that hears what a test says."""

    def __init__(self, own: Member, other: Member) -> None:
        super().__init__(own)
        self.other = other
        self.heard: dict[str, object] = {}
        self.announced: list[tuple[str, int]] = []

    def live(self) -> tuple[Member, ...]:
        return (self.own, self.other)

    def announce(self, topic: str, key: str, value: int, *, until: float) -> None:
        self.announced.append((key, value))

    def subscribe_topic(self, topic: str, heard: object) -> None:
        self.heard[topic] = heard


class ManyMembers(SoleMembership):
    """A membership of many."""

    def __init__(self, own: Member, all_: list[Member]) -> None:
        super().__init__(own)
        self._all = all_

    def live(self) -> tuple[Member, ...]:
        return tuple(self._all)


class TestReaders(unittest.TestCase):
    """A fleet of 40, of which ten read the store."""

    def setUp(self) -> None:
        self.network = MemoryNetwork()
        self.clock = FakeClock()
        members = [
            Member(name=f"r{n}", incarnation=1, address="", data_centre="") for n in range(40)
        ]
        self.feeds: dict[str, ScriptedFeed] = {}
        self.followers: dict[str, FeedFollower] = {}
        self.exchanges: dict[str, FeedExchange] = {}
        for member in members:
            name = member.name
            feed = self.feeds[name] = ScriptedFeed()
            follower = FeedFollower(feed, Taken(), self.clock, random.Random(1))
            self.followers[name] = follower
            exchange = self.exchanges[name] = FeedExchange(
                clock=self.clock,
                members=ManyMembers(member, members),
                peers=self.network.join(member),
                followers=[follower],
                source=random.Random(1),
            )
            exchange.start()
            self.addCleanup(exchange.stop)
            feed.listings.append(Ok(Listing(records=[record("a", 0)], next_offset=1)))
            follower.step()
        self.readers = [name for name in self.followers if self.reads_itself(name)]
        self.level(100)

    def reads_itself(self, name: str) -> bool:
        # The others have something newer, so that nobody waits.
        newest = max(follower.next_offset for follower in self.followers.values())
        self.level(newest + 1, but=name)
        return self.exchanges[name].wait_for_news(self.followers[name]) is None

    def level(self, offset: int, but: str = "") -> None:
        for name, follower in self.followers.items():
            if name != but:
                follower.take_over([record("a", 0)], offset)

    def test_some_read_the_store(self) -> None:
        self.assertEqual(10, len(self.readers))

    def test_the_others_hear_what_the_readers_read(self) -> None:
        name = next(one for one in self.followers if one not in self.readers)
        for reader in self.readers:
            self.followers[reader].take_over([record("c", 100)], 101)
        self.followers[name].step()
        self.assertEqual(101, self.followers[name].next_offset)
        self.assertEqual([], self.feeds[name].asked)

    def test_without_readers_a_router_reads_the_store_itself(self) -> None:
        name = next(one for one in self.followers if one not in self.readers)
        self.network.cut({name}, set(self.readers))
        self.feeds[name].batches.append(Ok(Batch(records=[record("c", 100)], next_offset=101)))
        self.followers[name].step()
        self.assertEqual(101, self.followers[name].next_offset)

    def test_readers_without_the_store_are_passed_over(self) -> None:
        name = next(one for one in self.followers if one not in self.readers)
        for reader in self.readers:
            self.feeds[reader].batches.append(Err(DOWN))
            self.followers[reader].step()
        self.feeds[name].batches.append(Ok(Batch(records=[], next_offset=100)))
        self.followers[name].step()
        self.assertEqual([100], self.feeds[name].asked)


class TestFeedExchange(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock()
        network = MemoryNetwork()
        members = [
            Member(name=f"r{n}", incarnation=1, address="", data_centre="") for n in range(2)
        ]
        self.feeds = [ScriptedFeed(), ScriptedFeed()]
        self.taken = [Taken(), Taken()]
        self.followers = [
            FeedFollower(self.feeds[n], self.taken[n], self.clock, random.Random(1))
            for n in range(2)
        ]
        self.members = [TwoMembers(members[n], members[1 - n]) for n in range(2)]
        self.exchanges = [
            FeedExchange(
                clock=self.clock,
                members=self.members[n],
                peers=network.join(members[n]),
                followers=[self.followers[n]],
                source=random.Random(1),
            )
            for n in range(2)
        ]
        for exchange in self.exchanges:
            exchange.start()
            self.addCleanup(exchange.stop)
        self.feeds[0].listings.append(Ok(Listing(records=[record("a", 0)], next_offset=3)))
        self.followers[0].step()

    def test_a_router_that_never_reached_the_store_hears_all(self) -> None:
        self.exchanges[1].step()
        self.assertEqual([(PEER, ["a"])], self.taken[1].told)
        self.assertEqual(3, self.followers[1].next_offset)

    def test_a_router_that_lost_the_store_hears_what_is_newer(self) -> None:
        self.exchanges[1].step()
        self.feeds[1].batches.append(Err(DOWN))
        self.followers[1].step()
        self.feeds[0].batches.append(Ok(Batch(records=[record("b", 3)], next_offset=4)))
        self.followers[0].step()
        self.exchanges[1].step()
        self.assertEqual((PEER, ["a", "b"]), self.taken[1].told[-1])

    def test_a_router_whose_read_hangs_asks_once_it_hears_of_more(self) -> None:
        self.exchanges[1].step()
        self.feeds[0].batches.append(Ok(Batch(records=[record("b", 3)], next_offset=4)))
        self.followers[0].step()
        self.assertIn(("feed", 4), self.members[0].announced)
        self.members[1].heard["feed"]("feed", 4)  # type: ignore[operator]
        self.exchanges[1].step()
        self.assertEqual(3, self.followers[1].next_offset)
        self.clock.advance(1.0)
        self.exchanges[1].step()
        self.assertEqual(4, self.followers[1].next_offset)

    def test_who_has_read_no_further_gives_nothing(self) -> None:
        answer = self.exchanges[0].give(self.members[1].own, FeedRequest(feed="feed", beyond=3))
        self.assertEqual((-1, []), (answer.next_offset, answer.records))


if __name__ == "__main__":
    unittest.main()
