"""Tests of the ``local`` policy."""

from __future__ import annotations

import unittest
from collections import Counter

from loomyard.configuration import Change, ConfigState, Put, fold
from loomyard.objects import ClientAccount, Metadata, Service, Target
from loomyard.routing import Routing
from loomyard_router.shares.local import make_local_policy
from loomyard_router.shares.waiting import WaitingRequest
from loomyard_standins.fake_clock import FakeClock

ROUTERS, SLOTS, ENOUGH = 8, 4, 5


class LocalPolicyTest(unittest.TestCase):
    def test_shares_of_all_routers_add_up_to_the_slots_and_are_equal(self) -> None:
        account = ClientAccount(metadata=Metadata(name="kiosk"))
        service = Service(metadata=Metadata(name="assistant"))
        targets = [
            Target(
                metadata=Metadata(name=f"engine-{number}"),
                url="http://127.0.0.1:1",
                services=["assistant"],
                slots=SLOTS,
            )
            for number in range(4)
        ]
        puts = [Put(object=item) for item in (account, service, *targets)]
        state, _ = fold(ConfigState(), 0, Change(change_id="c", puts=puts))
        admitted_by_target: Counter[str] = Counter()
        for position in range(ROUTERS):
            policy = make_local_policy(FakeClock(), position=position, routers=ROUTERS)
            policy.reconfigure(Routing(state))
            requests = [
                WaitingRequest(
                    request_id=str(number),
                    account=account,
                    service=service,
                    targets=tuple(targets),
                    estimate=1.0,
                    enqueued_at=0.0,
                    deadline=1.0,
                )
                for number in range(ENOUGH)
            ]
            for request in requests:
                policy.submit(request).unwrap()
            admitted = [request.admitted.get() for request in requests if request.admitted.ready()]
            self.assertEqual(len(admitted), len(targets) * SLOTS // ROUTERS)
            admitted_by_target.update(admission.target.metadata.name for admission in admitted)
        self.assertEqual(set(admitted_by_target.values()), {SLOTS})


if __name__ == "__main__":
    unittest.main()
