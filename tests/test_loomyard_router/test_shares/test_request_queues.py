"""Tests of queue limits, early refusals and starved requests."""

from __future__ import annotations

import unittest

from loomyard.errors import Executed, ResultCode
from loomyard.objects import ClientAccount, Metadata, Service, Target
from loomyard_router.shares.request_queues import RequestQueues
from loomyard_router.shares.starvation_tracker import STARVATION_LIMIT, StarvationTracker
from loomyard_router.shares.waiting import WaitingRequest
from loomyard_standins.fake_clock import FakeClock

SERVICE = Service(metadata=Metadata(name="s"))
TARGET = Target(metadata=Metadata(name="t"), url="http://127.0.0.1:1", services=["s"])
FLOOD = ClientAccount(metadata=Metadata(name="flood"), queue_limit=20)
KIOSK = ClientAccount(metadata=Metadata(name="kiosk"), queue_limit=20)


class RequestQueuesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock()
        self.queues = RequestQueues(self.clock)

    def waiting(self, account: ClientAccount = FLOOD, seconds: float = 60.0) -> WaitingRequest:
        now = self.clock.now()
        return WaitingRequest(
            request_id="r",
            account=account,
            service=SERVICE,
            targets=(TARGET,),
            estimate=100.0,
            enqueued_at=now,
            deadline=now + seconds,
        )

    def fill_and_drain(self, interval: float) -> None:
        for _ in range(20):
            self.queues.push(self.waiting()).unwrap()
        for _ in range(10):
            self.clock.advance(interval)
            self.queues.pop("s", "flood")

    def test_full_queue_refuses_with_retry_after_from_its_drain_rate(self) -> None:
        self.fill_and_drain(2.0)
        for _ in range(10):
            self.queues.push(self.waiting(seconds=1e6)).unwrap()
        fault = self.queues.push(self.waiting(seconds=1e6)).unwrap_err()
        self.assertEqual((fault.code, fault.executed), (ResultCode.QUEUE_FULL, Executed.NO))
        self.assertAlmostEqual(fault.retry_after or 0, 10.0)
        self.queues.push(self.waiting(KIOSK)).unwrap()

    def test_deadline_that_cannot_be_met_is_refused(self) -> None:
        self.fill_and_drain(2.0)
        fault = self.queues.push(self.waiting(seconds=5.0)).unwrap_err()
        self.assertEqual(fault.code, ResultCode.DEADLINE_UNREACHABLE)
        self.assertEqual(fault.executed, Executed.NO)
        self.queues.push(self.waiting(seconds=15.0)).unwrap()
        self.queues.push(self.waiting(KIOSK, seconds=0.5)).unwrap()

    def test_deadlines_are_not_checked_before_the_drain_rate_is_known(self) -> None:
        for _ in range(19):
            self.queues.push(self.waiting(seconds=0.1)).unwrap()

    def test_only_an_account_without_recent_admission_is_starved(self) -> None:
        tracker = StarvationTracker()
        first, second = self.waiting(KIOSK), self.waiting(FLOOD)
        self.clock.advance(STARVATION_LIMIT - 1.0)
        self.assertFalse(tracker.is_starved(first, self.clock.now()))
        tracker.record_admission(second, self.clock.now())
        self.clock.advance(1.0)
        self.assertTrue(tracker.is_starved(first, self.clock.now()))
        self.assertFalse(tracker.is_starved(second, self.clock.now()))


if __name__ == "__main__":
    unittest.main()
