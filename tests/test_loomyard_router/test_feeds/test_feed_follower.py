"""Tests of following a feed."""

from __future__ import annotations

import random
import unittest

from result import Err, Ok

from loomyard_router.feeds.feed import Batch, Listing
from loomyard_router.feeds.feed_follower import (
    MAX_POLL_SECONDS,
    MAX_RETRY_SECONDS,
    MIN_POLL_SECONDS,
    PEER,
    STORE,
    FeedFollower,
)
from loomyard_router.feeds.feed_position import FeedPosition
from loomyard_standins.fake_clock import FakeClock
from test_loomyard_router.test_feeds.feed_case import (
    TRIMMED,
    UNAVAILABLE,
    RecordingConsumer,
    ScriptedFeed,
    record,
)

INTERVAL = 0.5


class TestFeedFollower(unittest.TestCase):
    def setUp(self) -> None:
        self.feed = ScriptedFeed()
        self.consumer = RecordingConsumer()
        self.follower = FeedFollower(
            self.feed, self.consumer, FakeClock(), random.Random(1), min_read_interval=INTERVAL
        )

    def list_to(self, offset: int) -> None:
        self.feed.listings.append(
            Ok(Listing(records=[record("a", 0)], position=FeedPosition(0, offset)))
        )
        self.assertEqual(INTERVAL, self.follower.step())

    def test_lists_once_and_reads_on(self) -> None:
        self.list_to(3)
        self.feed.batches = [
            Ok(Batch(records=[], position=FeedPosition(0, 3))),
            Ok(Batch(records=[record("b", 3)], position=FeedPosition(0, 4))),
            Ok(Batch(records=[], position=FeedPosition(0, 4))),
        ]
        for _ in range(3):
            self.follower.step()
        self.assertEqual([3, 3, 4], self.feed.offsets)
        self.assertEqual([(STORE, ["a"]), ["b"]], self.consumer.calls)
        self.assertEqual(["a", "b"], [one.key for one in self.follower.records])

    def test_lists_again_where_records_were_trimmed(self) -> None:
        self.list_to(3)
        self.feed.batches = [Err(TRIMMED)]
        self.list_to(9)
        self.assertEqual([(STORE, ["a"]), (STORE, ["a"])], self.consumer.calls)
        self.assertEqual(9, self.follower.position.offset)

    def test_an_older_listing_of_a_peer_does_not_prevent_listing(self) -> None:
        self.list_to(3)
        for number in range(3):
            self.feed.batches.append(Err(TRIMMED))
            self.list_to(10 + number)
            self.follower.apply_peer_listing([record("a", 0)], FeedPosition(0, 3))
            self.assertEqual(10 + number, self.follower.position.offset)

    def test_backs_off_during_an_outage_and_notifies_once(self) -> None:
        self.list_to(3)
        self.feed.batches = [Err(UNAVAILABLE)] * 9 + [
            Ok(Batch(records=[], position=FeedPosition(0, 3)))
        ]
        pauses = [self.follower.step() for _ in range(9)]
        self.assertTrue(all(0 < pause <= MAX_RETRY_SECONDS for pause in pauses))
        self.assertFalse(self.follower.store_available)
        self.follower.step()
        self.assertTrue(self.follower.store_available)
        self.assertEqual(["lost", "regained"], self.consumer.calls[1:])

    def test_a_recovered_store_is_noticed_without_a_long_poll(self) -> None:
        self.list_to(3)
        self.feed.batches = [Err(UNAVAILABLE)] + [
            Ok(Batch(records=[], position=FeedPosition(0, 3)))
        ] * 2
        for _ in range(3):
            self.follower.step()
        before, during, after = self.feed.waits
        self.assertEqual(0.0, during)
        for waited in (before, after):
            self.assertGreaterEqual(waited, MIN_POLL_SECONDS)
            self.assertLessEqual(waited, MAX_POLL_SECONDS)

    def test_a_newer_listing_of_a_peer_is_applied_and_not_read_again(self) -> None:
        self.list_to(3)
        self.follower.apply_peer_listing([record("a", 0), record("c", 4)], FeedPosition(0, 5))
        self.assertEqual((PEER, ["a", "c"]), self.consumer.calls[-1])
        self.feed.batches = [
            Ok(Batch(records=[record("c", 4), record("d", 5)], position=FeedPosition(0, 6)))
        ]
        self.follower.step()
        self.assertEqual([5], self.feed.offsets)
        self.assertEqual(["d"], self.consumer.calls[-1])

    def test_an_older_listing_of_a_peer_is_ignored(self) -> None:
        self.list_to(3)
        self.follower.apply_peer_listing([], FeedPosition(0, 2))
        self.assertEqual(3, self.follower.position.offset)
        self.assertEqual([(STORE, ["a"])], self.consumer.calls)

    def test_a_deleted_key_is_removed(self) -> None:
        self.list_to(3)
        self.feed.batches = [Ok(Batch(records=[record("a", 3, None)], position=FeedPosition(0, 4)))]
        self.follower.step()
        self.assertEqual([], self.follower.records)


if __name__ == "__main__":
    unittest.main()
