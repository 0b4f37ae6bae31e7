"""Tests of the look-ups over one configuration."""

from __future__ import annotations

import unittest

from loomyard.configuration import ConfigState
from loomyard.objects import ClientAccount, Metadata, Route, Service, Target, ref_of
from loomyard.routing import Routing
from loomyard_router.shares.capacity import Capacity
from loomyard_router.shares.short_ids import short_id

SERVICE = Service(metadata=Metadata(name="assistant"))
ROUTE = Route(metadata=Metadata(name="gold"), service="assistant", accounts="tier=gold")
TARGET = Target(metadata=Metadata(name="t"), url="http://t", services=["assistant"])


class AllTargets:
    """A directory in which every target accepts work."""

    def may_send(self, name: str, service: str = "") -> bool:
        return True


def account(name: str, tier: str) -> ClientAccount:
    return ClientAccount(metadata=Metadata(name=name, labels={"tier": tier}))


class CapacityTest(unittest.TestCase):
    def setUp(self) -> None:
        objects = [SERVICE, ROUTE, TARGET, account("a", "gold"), account("b", "gold")]
        self.state = ConfigState().replace(0, objects, [])
        self.routing = Routing(self.state)
        self.capacity = Capacity(AllTargets())
        self.capacity.reconfigure(self.routing)

    def change(self, puts: list[ClientAccount], deletions: list[ClientAccount]) -> None:
        refs = [ref_of(item) for item in deletions]
        self.state = self.state.replace(self.state.applied + 1, puts, refs)
        changed = [ref_of(item) for item in puts] + refs
        self.routing = Routing(self.state, self.routing, changed)

    def allowed(self) -> str:
        service = short_id("assistant")
        return "".join(name for name in "abc" if self.capacity.targets(short_id(name), service))

    def test_added_changed_and_deleted_accounts_are_applied(self) -> None:
        self.assertEqual(self.allowed(), "ab")
        self.change([account("c", "gold"), account("a", "iron")], [account("b", "gold")])
        self.capacity.reconfigure(self.routing)
        self.assertEqual(self.allowed(), "c")

    def test_changes_of_a_skipped_version_are_applied(self) -> None:
        self.change([account("c", "gold")], [account("b", "gold")])
        self.change([account("a", "iron")], [])
        self.capacity.reconfigure(self.routing)
        self.assertEqual(self.allowed(), "c")


if __name__ == "__main__":
    unittest.main()
