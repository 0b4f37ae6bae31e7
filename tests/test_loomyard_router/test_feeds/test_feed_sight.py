"""Tests of what logs and metrics tell of a feed that hangs."""

from __future__ import annotations

import random
import unittest
from typing import TYPE_CHECKING
from unittest import mock

from result import Err, Ok, Result

from loomyard.events import Event
from loomyard_router.feeds.feed import Batch, Listing
from loomyard_router.feeds.feed_asker import READ_SECONDS
from loomyard_router.feeds.feed_exchange import FeedExchange
from loomyard_router.feeds.feed_follower import FeedFollower
from loomyard_router.feeds.feed_position import FeedPosition
from loomyard_router.members.membership import Member
from loomyard_router.metrics.exposition import MetersCollector, expose
from loomyard_router.metrics.meters import Meters
from loomyard_router.peers.traffic import TrafficCounters
from loomyard_standins.fake_clock import FakeClock
from loomyard_standins.memory_network import MemoryNetwork
from test_loomyard_router.test_feeds.feed_case import (
    DOWN,
    ScriptedFeed,
    Taken,
    TwoMembers,
    pass_time,
    record,
)

if TYPE_CHECKING:
    from loomyard.errors import Fault


class HangingFeed(ScriptedFeed):
    """Let the clock run on during each read."""

    clock: FakeClock
    hangs: float = 0.0

    def read(self, offset: int, wait_until: float) -> Result[Batch, Fault]:
        self.clock.advance(self.hangs)
        return super().read(offset, wait_until)


class FeedSightTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock()
        self.feed = HangingFeed()
        self.feed.clock = self.clock
        self.follower = FeedFollower(self.feed, Taken(), self.clock, random.Random(1))
        self.feed.listings.append(
            Ok(Listing(records=[record("a", 0)], position=FeedPosition(0, 1)))
        )
        self.follower.step()

    def test_the_line_of_a_loss_tells_how_long_the_call_was_out(self) -> None:
        self.clock.advance(1.0)
        self.feed.hangs = 8.0
        self.feed.batches = [Err(DOWN), Ok(Batch(records=[], position=FeedPosition(0, 1)))]
        with mock.patch("loomyard_router.feeds.feed_follower.emit") as emit:
            self.follower.step()
            self.feed.hangs = 0.5
            self.follower.step()
        lost, regained = emit.call_args_list
        self.assertIs(Event.FEED_LOST, lost.args[1])
        self.assertEqual((8.0, 9.0), (lost.kwargs["waited"], lost.kwargs["silent"]))
        self.assertIs(Event.FEED_REGAINED, regained.args[1])
        self.assertEqual(9.5, regained.kwargs["silent"])

    def test_the_line_of_hearing_tells_since_when_it_was_behind_and_who_had_nothing(self) -> None:
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
            source=random.Random(1),
        )
        exchange.start()
        self.addCleanup(exchange.stop)
        ahead = FeedFollower(ScriptedFeed(), Taken(), self.clock, random.Random(1))
        other = FeedExchange(
            clock=self.clock,
            members=TwoMembers(second, first),
            peers=network.join(second),
            followers=[ahead],
            source=random.Random(1),
        )
        other.start()
        self.addCleanup(other.stop)
        members.heard["feed"]("feed", 2)  # type: ignore[operator]
        pass_time(self.clock, 0.0)
        pass_time(self.clock, READ_SECONDS)
        ahead.take_over([record("a", 1)], FeedPosition(0, 2))
        with mock.patch("loomyard_router.feeds.feed_asker.emit") as emit:
            pass_time(self.clock, READ_SECONDS)
        emit.assert_called_once()
        self.assertIs(Event.FEED_HEARD, emit.call_args.args[1])
        self.assertEqual(2 * READ_SECONDS, emit.call_args.kwargs["behind"])
        self.assertEqual(1, emit.call_args.kwargs["in_vain"])
        (state,) = exchange.states()
        self.assertEqual(
            (2, 2, 2 * READ_SECONDS),
            (state.position.offset, state.announced.offset, state.silent_seconds),
        )

    def test_metrics_show_a_feed_that_is_behind_and_silent(self) -> None:
        exchange = FeedExchange(
            clock=self.clock,
            members=TwoMembers(*[Member(name="a", incarnation=1, address="", data_centre="")] * 2),
            peers=MemoryNetwork().join(Member(name="a", incarnation=1, address="", data_centre="")),
            followers=[self.follower],
            source=random.Random(1),
        )
        self.clock.advance(4.0)
        collector = MetersCollector(
            Meters(self.clock), TrafficCounters(), lambda: 0, exchange.states
        )
        text = expose(collector).decode()
        self.assertIn('loomyard_feed_offset{feed="feed"} 1.0', text)
        self.assertIn('loomyard_feed_announced_offset{feed="feed"} -1.0', text)
        self.assertIn('loomyard_feed_silent_seconds{feed="feed"} 4.0', text)


if __name__ == "__main__":
    unittest.main()
