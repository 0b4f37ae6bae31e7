"""Tests of following a feed."""

from __future__ import annotations

import random
import unittest

from result import Err, Ok

from loomyard_router.feeds.feed import Batch, Listing
from loomyard_router.feeds.feed_follower import (
    LEAST_WAIT,
    LONGEST_PAUSE,
    MOST_WAIT,
    PEER,
    STORE,
    FeedFollower,
)
from loomyard_router.feeds.feed_position import FeedPosition
from loomyard_standins.fake_clock import FakeClock
from test_loomyard_router.test_feeds.feed_case import DOWN, GONE, ScriptedFeed, Taken, record

PACE = 0.5


class TestFeedFollower(unittest.TestCase):
    def setUp(self) -> None:
        self.feed = ScriptedFeed()
        self.taken = Taken()
        self.follower = FeedFollower(
            self.feed, self.taken, FakeClock(), random.Random(1), min_read_interval=PACE
        )

    def list_to(self, offset: int) -> None:
        self.feed.listings.append(
            Ok(Listing(records=[record("a", 0)], position=FeedPosition(0, offset)))
        )
        self.assertEqual(PACE, self.follower.step())

    def test_lists_once_and_reads_on(self) -> None:
        self.list_to(3)
        self.feed.batches = [
            Ok(Batch(records=[], position=FeedPosition(0, 3))),
            Ok(Batch(records=[record("b", 3)], position=FeedPosition(0, 4))),
            Ok(Batch(records=[], position=FeedPosition(0, 4))),
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
        self.assertEqual(9, self.follower.position.offset)

    def test_another_router_that_is_behind_does_not_keep_it_from_listing(self) -> None:
        self.list_to(3)
        for number in range(3):
            self.feed.batches.append(Err(GONE))
            self.list_to(10 + number)
            self.follower.take_over([record("a", 0)], FeedPosition(0, 3))
            self.assertEqual(10 + number, self.follower.position.offset)

    def test_pauses_while_the_store_is_away_and_tells_once(self) -> None:
        self.list_to(3)
        self.feed.batches = [Err(DOWN)] * 9 + [Ok(Batch(records=[], position=FeedPosition(0, 3)))]
        pauses = [self.follower.step() for _ in range(9)]
        self.assertTrue(all(0 < pause <= LONGEST_PAUSE for pause in pauses))
        self.assertFalse(self.follower.answering)
        self.follower.step()
        self.assertTrue(self.follower.answering)
        self.assertEqual(["lost", "regained"], self.taken.told[1:])

    def test_a_store_that_is_back_is_noticed_without_waiting_for_records(self) -> None:
        self.list_to(3)
        self.feed.batches = [Err(DOWN)] + [Ok(Batch(records=[], position=FeedPosition(0, 3)))] * 2
        for _ in range(3):
            self.follower.step()
        long, short, again = self.feed.waits
        self.assertEqual(0.0, short)
        for waited in (long, again):
            self.assertGreaterEqual(waited, LEAST_WAIT)
            self.assertLessEqual(waited, MOST_WAIT)

    def test_what_a_peer_read_further_is_taken_over_and_not_read_again(self) -> None:
        self.list_to(3)
        self.follower.take_over([record("a", 0), record("c", 4)], FeedPosition(0, 5))
        self.assertEqual((PEER, ["a", "c"]), self.taken.told[-1])
        self.feed.batches = [
            Ok(Batch(records=[record("c", 4), record("d", 5)], position=FeedPosition(0, 6)))
        ]
        self.follower.step()
        self.assertEqual([5], self.feed.asked)
        self.assertEqual(["d"], self.taken.told[-1])

    def test_what_a_peer_read_less_far_is_passed_over(self) -> None:
        self.list_to(3)
        self.follower.take_over([], FeedPosition(0, 2))
        self.assertEqual(3, self.follower.position.offset)
        self.assertEqual([(STORE, ["a"])], self.taken.told)

    def test_a_dropped_key_is_forgotten(self) -> None:
        self.list_to(3)
        self.feed.batches = [Ok(Batch(records=[record("a", 3, None)], position=FeedPosition(0, 4)))]
        self.follower.step()
        self.assertEqual([], self.follower.records)


if __name__ == "__main__":
    unittest.main()
