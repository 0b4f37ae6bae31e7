"""Tests of the log lines and metrics of a feed whose reads hang."""

from __future__ import annotations

import random
import unittest
from typing import TYPE_CHECKING
from unittest import mock

from result import Err, Ok, Result

from loomyard.events import Event
from loomyard_router.feeds.feed import Batch, Listing
from loomyard_router.feeds.feed_exchange import FeedExchange
from loomyard_router.feeds.feed_follower import FeedFollower
from loomyard_router.feeds.feed_position import FeedPosition
from loomyard_router.feeds.peer_fetcher import OWN_READ_SECONDS
from loomyard_router.members.membership import Member
from loomyard_router.metrics.exposition import RouterCollector, expose
from loomyard_router.metrics.request_metrics import RequestMetrics
from loomyard_router.peers.traffic import TrafficCounters
from loomyard_standins.fake_clock import FakeClock
from loomyard_standins.memory_network import MemoryNetwork
from test_loomyard_router.test_feeds.feed_case import (
    UNAVAILABLE,
    RecordingConsumer,
    ScriptedFeed,
    TwoMembers,
    pass_time,
    record,
)

if TYPE_CHECKING:
    from loomyard.errors import Fault


class HangingFeed(ScriptedFeed):
    """A feed whose reads take time on the clock."""

    clock: FakeClock
    read_seconds: float = 0.0

    def read(self, offset: int, wait_until: float) -> Result[Batch, Fault]:
        self.clock.advance(self.read_seconds)
        return super().read(offset, wait_until)


class FeedObservabilityTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock()
        self.feed = HangingFeed()
        self.feed.clock = self.clock
        self.follower = FeedFollower(self.feed, RecordingConsumer(), self.clock, random.Random(1))
        self.feed.listings.append(
            Ok(Listing(records=[record("a", 0)], position=FeedPosition(0, 1)))
        )
        self.follower.step()

    def test_a_lost_store_is_logged_with_the_duration_of_the_failed_call(self) -> None:
        self.clock.advance(1.0)
        self.feed.read_seconds = 8.0
        self.feed.batches = [Err(UNAVAILABLE), Ok(Batch(records=[], position=FeedPosition(0, 1)))]
        with mock.patch("loomyard_router.feeds.feed_follower.emit") as emit:
            self.follower.step()
            self.feed.read_seconds = 0.5
            self.follower.step()
        lost, regained = emit.call_args_list
        self.assertIs(Event.FEED_LOST, lost.args[1])
        self.assertEqual((8.0, 9.0), (lost.kwargs["waited"], lost.kwargs["silent"]))
        self.assertIs(Event.FEED_REGAINED, regained.args[1])
        self.assertEqual(9.5, regained.kwargs["silent"])

    def test_records_of_a_peer_are_logged_with_the_time_behind_and_fruitless_requests(self) -> None:
        network = MemoryNetwork()
        first, second = (
            Member(name=n, incarnation=1, address="", data_centre="") for n in ("a", "b")
        )
        members = TwoMembers(first, second)
        exchange = FeedExchange(
            clock=self.clock,
            members=members,
            peers=network.join(first),
            followers=[self.follower],
            rng=random.Random(1),
        )
        exchange.start()
        self.addCleanup(exchange.stop)
        ahead = FeedFollower(ScriptedFeed(), RecordingConsumer(), self.clock, random.Random(1))
        other = FeedExchange(
            clock=self.clock,
            members=TwoMembers(second, first),
            peers=network.join(second),
            followers=[ahead],
            rng=random.Random(1),
        )
        other.start()
        self.addCleanup(other.stop)
        members.handlers["feed"]("feed", 2)  # type: ignore[operator]
        pass_time(self.clock, 0.0)
        pass_time(self.clock, OWN_READ_SECONDS)
        ahead.apply_peer_listing([record("a", 1)], FeedPosition(0, 2))
        with mock.patch("loomyard_router.feeds.peer_fetcher.emit") as emit:
            pass_time(self.clock, OWN_READ_SECONDS)
        emit.assert_called_once()
        self.assertIs(Event.FEED_HEARD, emit.call_args.args[1])
        self.assertEqual(2 * OWN_READ_SECONDS, emit.call_args.kwargs["behind"])
        self.assertEqual(1, emit.call_args.kwargs["in_vain"])
        (state,) = exchange.states()
        self.assertEqual(
            (2, 2, 2 * OWN_READ_SECONDS),
            (state.position.offset, state.announced.offset, state.silent_seconds),
        )

    def test_metrics_show_the_position_and_silence_of_a_feed(self) -> None:
        exchange = FeedExchange(
            clock=self.clock,
            members=TwoMembers(*[Member(name="a", incarnation=1, address="", data_centre="")] * 2),
            peers=MemoryNetwork().join(Member(name="a", incarnation=1, address="", data_centre="")),
            followers=[self.follower],
            rng=random.Random(1),
        )
        self.clock.advance(4.0)
        collector = RouterCollector(
            RequestMetrics(self.clock), TrafficCounters(), lambda: 0, exchange.states
        )
        text = expose(collector).decode()
        self.assertIn('loomyard_feed_offset{feed="feed"} 1.0', text)
        self.assertIn('loomyard_feed_announced_offset{feed="feed"} -1.0', text)
        self.assertIn('loomyard_feed_silent_seconds{feed="feed"} 4.0', text)


if __name__ == "__main__":
    unittest.main()
