"""Tests that refusals of other routers reach the order controller."""

from __future__ import annotations

import unittest

import gevent

from loomyard_router.members.membership import Member, SoleMembership
from loomyard_router.orders.local_backlog import REFUSAL_SECONDS, LocalBacklog
from loomyard_router.orders.refusal_notifier import REPEAT_SECONDS, RefusalNotifier
from loomyard_router.shares.allocator_selection import find_allocator
from loomyard_standins.fake_clock import FakeClock
from loomyard_standins.memory_network import MemoryNetwork

NAMES = ("r0", "r1", "r2")


def member(name: str) -> Member:
    return Member(name=name, incarnation=1, address="", data_centre="")


class ThreeMembers(SoleMembership):
    def live(self) -> tuple[Member, ...]:
        return tuple(member(name) for name in NAMES)


class RefusalNotifierTest(unittest.TestCase):
    def test_repeated_refusals_count_without_gaps_and_cost_few_messages(self) -> None:
        clock, network = FakeClock(), MemoryNetwork()
        backlogs = {name: LocalBacklog(clock) for name in NAMES}
        for name, backlog in backlogs.items():
            members = ThreeMembers(member(name))
            RefusalNotifier(clock, members, network.join(member(name)), backlog)
        controller = find_allocator(members)
        other = next(name for name in NAMES if name != controller)
        for tenth in range(200):
            backlogs[other].record_refusal("tagger")
            gevent.sleep(0)
            gevent.sleep(0)
            self.assertEqual(backlogs[controller].waiting("tagger"), 1, tenth)
            clock.advance(0.1)
        self.assertLessEqual(network.sent_messages, 20 / REPEAT_SECONDS + 1)
        clock.advance(REFUSAL_SECONDS)
        self.assertEqual(backlogs[controller].waiting("tagger"), 0)


if __name__ == "__main__":
    unittest.main()
