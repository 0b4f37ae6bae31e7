"""Tests of the cost at which an attempt is settled."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from loomyard.objects import ClientAccount, Metadata, Service, ServiceType, Target
from loomyard_router.requests.estimates import CostEstimates
from loomyard_router.requests.request import Request
from loomyard_router.requests.settlement import Settlement
from loomyard_router.shares.fifo import make_fifo_policy
from loomyard_router.shares.waiting import WaitingRequest
from loomyard_standins.fake_clock import FakeClock

if TYPE_CHECKING:
    from loomyard_router.shares.admission import Admission


class SettlementTest(unittest.TestCase):
    def test_target_time_starts_when_the_request_is_sent(self) -> None:
        clock = FakeClock()
        policy = make_fifo_policy(clock)
        account = ClientAccount(metadata=Metadata(name="kiosk"))
        service = Service(
            metadata=Metadata(name="records"), type=ServiceType.PLAIN, second_weight=1000.0
        )
        target = Target(metadata=Metadata(name="t"), url="http://t", services=["records"])
        waiting = WaitingRequest(
            request_id="r",
            account=account,
            service=service,
            targets=(target,),
            estimate=1.0,
            enqueued_at=clock.now(),
            deadline=60.0,
        )
        policy.submit(waiting).unwrap()
        admission: Admission = waiting.admitted.get()
        request = Request(
            request_id="r",
            account=account,
            service=service,
            method="POST",
            path="/",
            arrived_at=0.0,
            deadline=60.0,
        )
        settlement = Settlement(
            clock=clock,
            policy=policy,
            estimates=CostEstimates(),
            request=request,
            admission=admission,
        )
        clock.advance(5.0)
        settlement.record_sent()
        clock.advance(0.5)
        settlement.settle(None)
        self.assertEqual(admission.charged, 500.0)


if __name__ == "__main__":
    unittest.main()
