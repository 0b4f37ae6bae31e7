"""Tests of queued requests whose targets change."""

from __future__ import annotations

import unittest

from attrs import evolve

from loomyard.objects import TargetState
from loomyard_standins.faults.fake_fleet import FakeFleet
from loomyard_standins.faults.fleet_objects import make_target_object
from loomyard_standins.faults.observations import CallRecord, Ending

FILLERS = 12


class QueuedRequestsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = FakeFleet(spare=["engine-1"])
        self.addCleanup(self.fleet.close)
        self.fleet.engines[0].hold()
        for number in range(FILLERS):
            self.fleet.callers.call_model(f"labels/filler-{number}", "router-0")
        self.fleet.run(1.0)

    def queue(self) -> CallRecord:
        record = self.fleet.callers.call_model("kiosk/queued", "router-0")
        self.fleet.run(1.0)
        self.assertIs(record.ending, Ending.OPEN)
        return record

    def test_a_new_target_serves_queued_requests(self) -> None:
        record = self.queue()
        self.fleet.publisher.publish([make_target_object(self.fleet.engines[1])])
        self.fleet.run(3.0)
        self.assertEqual((record.ending, record.status), (Ending.WHOLE, 200))

    def test_queued_requests_are_refused_when_no_target_is_left(self) -> None:
        record = self.queue()
        leaving = make_target_object(self.fleet.engines[0])
        self.fleet.publisher.replace(evolve(leaving, state=TargetState.LEAVING))
        self.fleet.run(3.0)
        self.assertEqual((record.ending, record.executed), (Ending.WHOLE, "no"))


if __name__ == "__main__":
    unittest.main()
