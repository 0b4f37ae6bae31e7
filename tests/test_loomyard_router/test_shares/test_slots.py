"""Tests of leased slots at the allocator and at the router that holds them."""

from __future__ import annotations

import unittest

from loomyard_router.members.membership import Member
from loomyard_router.shares.held_slots import HeldSlots
from loomyard_router.shares.lease_terms import IDLE_LEASE_SECONDS, LEASE_SECONDS
from loomyard_router.shares.messages import ShareReport, SlotReport
from loomyard_router.shares.min_level import MinLevel
from loomyard_router.shares.reporting_router import ReportingRouter

TARGET = b"target"
MEMBER = Member(name="router-0", incarnation=1, address="", data_centre="")


def report(sequence: int, acknowledged: int, limit: int, excess: int = 0) -> ShareReport:
    return ShareReport(
        session=1,
        sequence=sequence,
        acknowledged=acknowledged,
        baseline=0,
        min_level=0,
        slots={TARGET: SlotReport(limit, excess)},
    )


class AcknowledgementTest(unittest.TestCase):
    def test_acknowledgement_of_a_reply_never_sent_is_ignored(self) -> None:
        router = ReportingRouter(MEMBER, session=1)
        router.make_reply(lease=LEASE_SECONDS, min_level=MinLevel(), margin=0)
        router.record_report(report(1, acknowledged=11, limit=0), 0.0)
        self.assertEqual((router.acknowledged, router.longest_lease), (1, LEASE_SECONDS))


class HeldSlotsTest(unittest.TestCase):
    def test_no_slots_are_free_without_a_valid_lease(self) -> None:
        held = HeldSlots()
        held.set_limit(TARGET, 3)
        held.acquire(TARGET)
        self.assertEqual(held.free(0.0), {})
        held.lease_until = 10.0
        self.assertEqual(held.free(9.9), {TARGET: 2})
        self.assertEqual(held.free(10.0), {})

    def test_slots_in_use_above_a_lowered_limit_are_reported(self) -> None:
        held = HeldSlots()
        held.set_limit(TARGET, 2)
        held.acquire(TARGET)
        held.acquire(TARGET)
        held.set_limit(TARGET, 0)
        self.assertEqual(held.report(()), {TARGET: SlotReport(0, 2)})
        held.release(TARGET)
        held.release(TARGET)
        self.assertEqual(held.report((TARGET,)), {TARGET: SlotReport(0, 0)})


class ReportingRouterTest(unittest.TestCase):
    def setUp(self) -> None:
        self.router = ReportingRouter(MEMBER, 1)
        self.router.restore_slots(report(1, 0, 4))

    def reply(self, lease: float = LEASE_SECONDS) -> int:
        return self.router.make_reply(lease=lease, min_level=MinLevel(), margin=0).sequence

    def committed(self) -> int:
        lease = self.router.leases.get(TARGET)
        return lease.committed if lease else 0

    def test_recalled_slots_stay_committed_until_the_router_stops_using_them(self) -> None:
        self.router.grant(TARGET, 1)
        number = self.reply()
        self.assertEqual(self.committed(), 4)
        self.router.apply_slots(report(2, number - 1, 4))
        self.assertEqual(self.committed(), 4)
        self.assertTrue(self.router.apply_slots(report(3, number, 1, excess=2)))
        self.assertEqual(self.committed(), 3)
        self.router.apply_slots(report(4, number, 1))
        self.assertEqual(self.committed(), 1)

    def test_returned_slots_are_free(self) -> None:
        self.assertTrue(self.router.apply_slots(report(2, 0, 1)))
        self.assertEqual((self.committed(), self.router.granted(TARGET)), (1, 1))

    def test_report_older_than_a_grant_does_not_count_as_returned_slots(self) -> None:
        self.router.grant(TARGET, 6)
        number = self.reply()
        self.router.apply_slots(report(2, number - 1, 3))
        self.assertEqual(self.committed(), 6)
        self.router.apply_slots(report(3, number, 6))
        self.assertEqual(self.committed(), 6)

    def test_report_older_than_a_repeated_grant_does_not_count_as_returned_slots(self) -> None:
        self.router.grant(TARGET, 5)
        first = self.reply()
        again = self.reply()
        self.router.apply_slots(report(2, first, 3))
        self.assertEqual(self.committed(), 5)
        self.router.apply_slots(report(3, again, 3))
        self.assertEqual(self.committed(), 3)

    def test_longer_lease_counts_until_the_shorter_one_is_acknowledged(self) -> None:
        self.reply(IDLE_LEASE_SECONDS)
        number = self.reply(LEASE_SECONDS)
        self.router.record_report(report(2, number - 1, 4), 1.0)
        self.assertEqual(self.router.longest_lease, IDLE_LEASE_SECONDS)
        self.router.record_report(report(3, number, 4), 2.0)
        self.assertEqual(self.router.longest_lease, LEASE_SECONDS)


if __name__ == "__main__":
    unittest.main()
