"""Tests of queue limits, early refusals and the floor by age."""

from __future__ import annotations

import unittest

from loomyard.errors import Executed, ResultCode
from loomyard.objects import ClientAccount, Metadata, Service, Target
from loomyard_router.shares.overdue import OVERDUE_AFTER, Overdue
from loomyard_router.shares.request_queues import RequestQueues
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

    def test_full_queue_refuses_by_its_drain_rate(self) -> None:
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

    def test_nothing_is_refused_on_a_guess(self) -> None:
        for _ in range(19):
            self.queues.push(self.waiting(seconds=0.1)).unwrap()

    def test_only_an_account_without_any_admission_is_overdue(self) -> None:
        overdue = Overdue()
        first, second = self.waiting(KIOSK), self.waiting(FLOOD)
        self.clock.advance(OVERDUE_AFTER - 1.0)
        self.assertFalse(overdue.applies(first, self.clock.now()))
        overdue.note(second, self.clock.now())
        self.clock.advance(1.0)
        self.assertTrue(overdue.applies(first, self.clock.now()))
        self.assertFalse(overdue.applies(second, self.clock.now()))


if __name__ == "__main__":
    unittest.main()
