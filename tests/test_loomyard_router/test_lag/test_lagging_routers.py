"""Tests of what routers tell each other of their lag."""

from __future__ import annotations

import unittest

from loomyard_router.lag.lag_monitor import CHECK_SECONDS as MONITOR_CHECK_SECONDS
from loomyard_router.lag.lag_monitor import ONSET_SECONDS, RECOVERY_SECONDS, LagMonitor
from loomyard_router.lag.lagging_routers import EXPIRY_SECONDS, LaggingRouters
from loomyard_router.members.membership import Member
from loomyard_router.members.topics import Topics
from loomyard_standins.fake_clock import FakeClock
from test_loomyard_router.test_admission.slots_case import Members


class GossipMembers(Members):
    """Membership whose announcements a test carries on."""

    def __init__(self, own: Member, clock: FakeClock) -> None:
        super().__init__(own, [own])
        self.topics = Topics(clock)
        self.announced: list[tuple[str, int]] = []

    def announce(self, topic: str, key: str, value: int, *, until: float) -> None:
        if self.topics.announce(topic, key, value, until):
            self.announced.append((key, value))

    def subscribe_topic(self, topic: str, received: object) -> None:
        self.topics.subscribe(topic, received)  # type: ignore[arg-type]


class LaggingRoutersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock()
        self.make(incarnation=5)

    def make(self, incarnation: int) -> None:
        own = Member(name="r0", incarnation=incarnation, address="", data_centre="")
        self.members = GossipMembers(own, self.clock)
        self.monitor = LagMonitor(self.clock, threshold=0.08)
        self.routers = LaggingRouters(self.clock, self.members, self.monitor)
        self.routers.start()
        self.addCleanup(self.routers.stop)

    def advance(self, seconds: float) -> None:
        for _ in range(round(seconds / MONITOR_CHECK_SECONDS)):
            self.clock.advance(MONITOR_CHECK_SECONDS)

    def test_a_router_that_lags_tells_so_again_until_it_recovers(self) -> None:
        self.monitor.record(2 * ONSET_SECONDS)
        self.assertTrue(self.routers.is_lagging("r0"))
        self.advance(RECOVERY_SECONDS)
        self.assertGreaterEqual(len(self.members.announced), RECOVERY_SECONDS - 1)
        self.advance(EXPIRY_SECONDS + 1.0)
        told = len(self.members.announced)
        self.assertFalse(self.routers.is_lagging("r0"))
        self.advance(3.0)
        self.assertEqual(told, len(self.members.announced))

    def test_it_tells_so_at_its_second_lag_too(self) -> None:
        for _ in range(2):
            before = len(self.members.announced)
            self.monitor.record(2 * ONSET_SECONDS)
            self.assertGreater(len(self.members.announced), before)
            self.advance(RECOVERY_SECONDS + EXPIRY_SECONDS + 2.0)
            self.assertFalse(self.routers.is_lagging("r0"))

    def test_a_restarted_router_is_heard_at_once(self) -> None:
        self.monitor.record(2 * ONSET_SECONDS)
        self.advance(3.0)
        _, last = self.members.announced[-1]
        self.make(incarnation=6)
        self.monitor.record(2 * ONSET_SECONDS)
        self.assertGreater(self.members.announced[0][1], last)

    def test_another_router_counts_as_lagging_until_it_is_silent_of_it(self) -> None:
        changes: list[frozenset[str]] = []
        self.routers.subscribe(lambda: changes.append(self.routers.names))
        for value in range(3):
            self.routers._receive("r1", value)
            self.advance(1.0)
        self.assertEqual([{"r1"}], changes)
        self.advance(EXPIRY_SECONDS + 1.0)
        self.assertEqual([{"r1"}, frozenset()], changes)

    def test_duties_stay_while_most_routers_lag(self) -> None:
        names = [f"r{number}" for number in range(5)]
        for number in (1, 2):
            self.routers._receive(f"r{number}", 1)
        self.assertEqual(["r0", "r3", "r4"], self.routers.fit(names))
        self.routers._receive("r3", 1)
        self.assertEqual(names, self.routers.fit(names))


if __name__ == "__main__":
    unittest.main()
