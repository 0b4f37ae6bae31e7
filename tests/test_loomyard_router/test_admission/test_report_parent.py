"""Tests of the choice of the router that usage is reported to."""

from __future__ import annotations

import unittest

from loomyard_router.admission.report_parent import MAX_MISSED_REPLIES, ReportParent
from loomyard_router.members.membership import Member
from loomyard_standins.fake_clock import FakeClock
from test_loomyard_router.test_admission.slots_case import Members


def member(name: str) -> Member:
    return Member(name=name, incarnation=1, address="", data_centre="d")


class ReportParentTest(unittest.TestCase):
    # Guards against a task of reports that ends as no router is left to report to.
    def test_a_leaving_router_whose_last_peer_is_silent_has_no_parent(self) -> None:
        own, other = member("r0"), member("r1")
        members = Members(own, [own, other])
        parent = ReportParent(FakeClock(), members)
        members.change([other])
        self.assertEqual("r1", parent.name)
        for _ in range(MAX_MISSED_REPLIES):
            parent.record_missed_reply()
        self.assertIsNone(parent.name)


if __name__ == "__main__":
    unittest.main()
