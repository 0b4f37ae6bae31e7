"""Tests of hearing a feed from other routers."""

from __future__ import annotations

import random
import unittest

from result import Err, Ok

from loomyard_router.feeds.exchange_messages import FeedRequest
from loomyard_router.feeds.feed import Batch, Listing
from loomyard_router.feeds.feed_asker import LOOK_SECONDS, READ_SECONDS, WAIT_SECONDS
from loomyard_router.feeds.feed_exchange import FeedExchange
from loomyard_router.feeds.feed_follower import FeedFollower
from loomyard_router.feeds.feed_position import FeedPosition
from loomyard_router.feeds.feed_readers import LEAST_READERS
from loomyard_router.feeds.record_consumer import PEER
from loomyard_router.members.membership import Member
from loomyard_standins.fake_clock import FakeClock
from loomyard_standins.memory_network import MemoryNetwork
from test_loomyard_router.test_feeds.feed_case import (
    DOWN,
    ManyMembers,
    ScriptedFeed,
    Taken,
    TwoMembers,
    pass_time,
    record,
)


class TestReaders(unittest.TestCase):
    """A fleet of 40, of which some read the store."""

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
            feed.listings.append(Ok(Listing(records=[record("a", 0)], position=FeedPosition(0, 1))))
            follower.step()
        self.readers = [name for name in self.followers if self.reads_itself(name)]
        self.level(100)

    def reads_itself(self, name: str) -> bool:
        # The others have something newer, so that nobody waits.
        newest = max(follower.position.offset for follower in self.followers.values())
        self.level(newest + 1, but=name)
        return self.exchanges[name].wait_for_news(self.followers[name]) is None

    def level(self, offset: int, but: str = "") -> None:
        for name, follower in self.followers.items():
            if name != but:
                follower.take_over([record("a", 0)], FeedPosition(0, offset))

    def test_one_without_the_store_tries_the_readers_first(self) -> None:
        name = next(one for one in self.exchanges if one not in self.readers)
        (asker,) = self.exchanges[name]._askers.values()
        tried = [asker._next_untried() for _ in self.readers]
        self.assertEqual(sorted(self.readers), sorted(tried))

    def test_some_read_the_store(self) -> None:
        self.assertEqual(LEAST_READERS, len(self.readers))

    def test_the_others_hear_what_the_readers_read(self) -> None:
        name = next(one for one in self.followers if one not in self.readers)
        for reader in self.readers:
            self.followers[reader].take_over([record("c", 100)], FeedPosition(0, 101))
        self.followers[name].step()
        self.assertEqual(101, self.followers[name].position.offset)
        self.assertEqual([], self.feeds[name].asked)

    def test_without_readers_a_router_reads_the_store_itself(self) -> None:
        name = next(one for one in self.followers if one not in self.readers)
        self.network.cut({name}, set(self.readers))
        self.feeds[name].batches.append(
            Ok(Batch(records=[record("c", 100)], position=FeedPosition(0, 101)))
        )
        self.followers[name].step()
        self.assertEqual(101, self.followers[name].position.offset)

    def test_readers_without_the_store_are_passed_over(self) -> None:
        name = next(one for one in self.followers if one not in self.readers)
        for reader in self.readers:
            self.feeds[reader].batches.append(Err(DOWN))
            self.followers[reader].step()
        self.feeds[name].batches.append(Ok(Batch(records=[], position=FeedPosition(0, 100))))
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
        self.feeds[0].listings.append(
            Ok(Listing(records=[record("a", 0)], position=FeedPosition(0, 3)))
        )
        self.followers[0].step()

    def test_a_router_that_never_reached_the_store_hears_all(self) -> None:
        pass_time(self.clock, 0.0)
        self.assertEqual([(PEER, ["a"])], self.taken[1].told)
        self.assertEqual(3, self.followers[1].position.offset)

    def test_a_router_that_lost_the_store_hears_what_is_newer_at_once(self) -> None:
        pass_time(self.clock, 0.0)
        self.feeds[1].batches.append(Err(DOWN))
        self.followers[1].step()
        pass_time(self.clock, LOOK_SECONDS)
        self.feeds[0].batches.append(
            Ok(Batch(records=[record("b", 3)], position=FeedPosition(0, 4)))
        )
        self.followers[0].step()
        pass_time(self.clock, 0.0)
        self.assertEqual(["b"], self.taken[1].told[-1])

    def test_a_router_whose_read_hangs_asks_once_it_hears_of_more(self) -> None:
        pass_time(self.clock, 0.0)
        self.feeds[1].batches.append(Ok(Batch(records=[], position=FeedPosition(0, 3))))
        self.followers[1].step()
        pass_time(self.clock, WAIT_SECONDS)
        self.feeds[0].batches.append(
            Ok(Batch(records=[record("b", 3)], position=FeedPosition(0, 4)))
        )
        self.followers[0].step()
        self.assertIn(("feed", 4), self.members[0].announced)
        self.members[1].heard["feed"]("feed", 4)  # type: ignore[operator]
        pass_time(self.clock, READ_SECONDS / 2)
        self.assertEqual(3, self.followers[1].position.offset)
        pass_time(self.clock, READ_SECONDS)
        self.assertEqual(4, self.followers[1].position.offset)

    def test_a_router_that_hears_of_more_asks_all_until_one_has_it(self) -> None:
        members = [
            Member(name=f"m{n}", incarnation=1, address="", data_centre="") for n in range(9)
        ]
        network = MemoryNetwork()
        views = [TwoMembers(member, members[0]) for member in members]
        followers = [
            FeedFollower(ScriptedFeed(), Taken(), self.clock, random.Random(1)) for _ in members
        ]
        for follower in followers:
            follower.take_over([record("a", 0)], FeedPosition(0, 3))
        for view, member, follower in zip(views, members, followers, strict=True):
            exchange = FeedExchange(
                clock=self.clock,
                members=ManyMembers(member, members) if member is not members[0] else view,
                peers=network.join(member),
                followers=[follower],
                source=random.Random(1),
            )
            exchange.start()
            self.addCleanup(exchange.stop)
        views[0].live = lambda: tuple(members)  # type: ignore[method-assign]
        followers[5].take_over([record("b", 3)], FeedPosition(0, 4))
        views[0].heard["feed"]("feed", 4)  # type: ignore[operator]
        pass_time(self.clock, 0.0)
        pass_time(self.clock, READ_SECONDS)
        self.assertEqual(4, followers[0].position.offset)

    def test_who_lacks_a_little_is_told_what_changed_and_not_all(self) -> None:
        pass_time(self.clock, 0.0)
        self.feeds[0].batches.append(
            Ok(Batch(records=[record("b", 3), record("a", 4, None)], position=FeedPosition(0, 5)))
        )
        self.followers[0].step()
        request = FeedRequest(feed="feed", beyond=FeedPosition(0, 3))
        answer = self.exchanges[0].give(self.members[1].own, request)
        self.assertTrue(answer.changes)
        self.assertEqual([("b", b"v"), ("a", None)], [(r.key, r.value) for r in answer.records])
        self.followers[1].hear(answer)
        self.assertEqual(["b", "a"], self.taken[1].told[-1])
        self.assertEqual(["b"], [one.key for one in self.followers[1].records])
        self.assertEqual(5, self.followers[1].position.offset)

    def test_who_lacks_more_than_is_remembered_is_told_all(self) -> None:
        request = FeedRequest(feed="feed", beyond=FeedPosition(0, 1))
        answer = self.exchanges[0].give(self.members[1].own, request)
        self.assertEqual((False, ["a"]), (answer.changes, [one.key for one in answer.records]))

    def test_who_has_read_no_further_gives_nothing(self) -> None:
        answer = self.exchanges[0].give(
            self.members[1].own, FeedRequest(feed="feed", beyond=FeedPosition(0, 3))
        )
        self.assertEqual((-1, []), (answer.position.offset, answer.records))


if __name__ == "__main__":
    unittest.main()
