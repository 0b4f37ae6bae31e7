"""Tests of leased slots at both ends."""

from __future__ import annotations

import unittest

from loomyard_router.members.membership import Member
from loomyard_router.shares.floor_level import FloorLevel
from loomyard_router.shares.held_slots import HeldSlots
from loomyard_router.shares.lease_terms import IDLE_LEASE, LEASE
from loomyard_router.shares.messages import ShareReport, SlotReport
from loomyard_router.shares.reporting_router import ReportingRouter

TARGET = b"target"
MEMBER = Member(name="router-0", incarnation=1, address="", data_centre="")


def report(sequence: int, acknowledged: int, limit: int, excess: int = 0) -> ShareReport:
    return ShareReport(
        session=1,
        sequence=sequence,
        acknowledged=acknowledged,
        baseline=0,
        floor=0,
        slots={TARGET: SlotReport(limit, excess)},
    )


class HeldSlotsTest(unittest.TestCase):
    def test_no_slot_is_free_after_the_lease(self) -> None:
        held = HeldSlots()
        held.set_limit(TARGET, 3)
        held.take(TARGET)
        self.assertEqual(held.free(0.0), {})
        held.lease_until = 10.0
        self.assertEqual(held.free(9.9), {TARGET: 2})
        self.assertEqual(held.free(10.0), {})

    def test_use_above_a_lowered_limit_is_reported(self) -> None:
        held = HeldSlots()
        held.set_limit(TARGET, 2)
        held.take(TARGET)
        held.take(TARGET)
        held.set_limit(TARGET, 0)
        self.assertEqual(held.report(()), {TARGET: SlotReport(0, 2)})
        held.release(TARGET)
        held.release(TARGET)
        self.assertEqual(held.report((TARGET,)), {TARGET: SlotReport(0, 0)})


class ReportingRouterTest(unittest.TestCase):
    def setUp(self) -> None:
        self.router = ReportingRouter(MEMBER, 1)
        self.router.adopt_slots(report(1, 0, 4))

    def reply(self, lease: float = LEASE) -> int:
        return self.router.make_reply(lease=lease, floor=FloorLevel(), margin=0).sequence

    def committed(self) -> int:
        lease = self.router.leases.get(TARGET)
        return lease.committed if lease else 0

    def test_recalled_slots_count_until_the_router_has_drained_them(self) -> None:
        self.router.grant(TARGET, 1)
        number = self.reply()
        self.assertEqual(self.committed(), 4)
        self.router.take_slots(report(2, number - 1, 4))
        self.assertEqual(self.committed(), 4)
        self.assertTrue(self.router.take_slots(report(3, number, 1, excess=2)))
        self.assertEqual(self.committed(), 3)
        self.router.take_slots(report(4, number, 1))
        self.assertEqual(self.committed(), 1)

    def test_slots_given_back_are_free(self) -> None:
        self.assertTrue(self.router.take_slots(report(2, 0, 1)))
        self.assertEqual((self.committed(), self.router.granted(TARGET)), (1, 1))

    def test_grant_under_way_is_not_taken_for_given_back(self) -> None:
        self.router.grant(TARGET, 6)
        number = self.reply()
        self.router.take_slots(report(2, number - 1, 3))
        self.assertEqual(self.committed(), 6)
        self.router.take_slots(report(3, number, 6))
        self.assertEqual(self.committed(), 6)

    def test_slot_told_again_is_not_taken_for_given_back(self) -> None:
        self.router.grant(TARGET, 5)
        first = self.reply()
        again = self.reply()
        self.router.take_slots(report(2, first, 3))
        self.assertEqual(self.committed(), 5)
        self.router.take_slots(report(3, again, 3))
        self.assertEqual(self.committed(), 3)

    def test_longer_lease_binds_until_the_shorter_one_is_acknowledged(self) -> None:
        self.reply(IDLE_LEASE)
        number = self.reply(LEASE)
        self.router.hear(report(2, number - 1, 4), 1.0)
        self.assertEqual(self.router.longest_lease, IDLE_LEASE)
        self.router.hear(report(3, number, 4), 2.0)
        self.assertEqual(self.router.longest_lease, LEASE)


if __name__ == "__main__":
    unittest.main()
