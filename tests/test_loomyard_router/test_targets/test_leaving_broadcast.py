"""Tests that "leaving" reaches every router within two seconds, despite lost datagrams."""

from __future__ import annotations

import unittest

import gevent

from loomyard.configuration import Change, ConfigState, Put, fold
from loomyard.external.vm_list import Vm, VmState
from loomyard.objects import Metadata, Service, Target
from loomyard.routing import Routing
from loomyard_router.peers.no_peers import NoPeers
from loomyard_router.targets.known_targets import KnownTargets, make_known_targets
from loomyard_router.targets.leaving_broadcast import NEIGHBOURS
from loomyard_standins.memory_engines import MemoryEngines
from loomyard_standins.memory_network import MemoryNetwork
from test_loomyard_router.test_members.test_swim import TIMES, Fleet

SPREAD_SECONDS = 2.0
LOSS = 0.2
HOPS = 8


def target(name: str) -> Target:
    return Target(
        metadata=Metadata(name=name), url=f"http://{name}", services=["model"], vm=f"vm-{name}"
    )


class LeavingBroadcastTest(unittest.TestCase):
    def start(self, count: int, *, linked: bool = True) -> tuple[Fleet, dict[str, KnownTargets]]:
        objects = [Service(metadata=Metadata(name="model")), target("a"), target("b")]
        change = Change(change_id="c", puts=[Put(object=item) for item in objects])
        routing = Routing(fold(ConfigState(), 0, change)[0])
        fleet = Fleet(count)
        engines = MemoryEngines()
        routers = {}
        network = self.network = MemoryNetwork(seed=3)
        network.loss = LOSS
        for name, members in fleet.members.items():
            peers = network.join(members.own) if linked else NoPeers()
            routers[name] = make_known_targets(fleet.clock, engines, members, peers)
            routers[name].reconfigure(routing)
        fleet.network.loss = LOSS
        return fleet, routers

    def seconds_until_known(
        self, fleet: Fleet, routers: dict[str, KnownTargets], name: str
    ) -> float:
        since = fleet.clock.now()
        while any(router.may_send(name) for router in routers.values()):
            self.assertLess(fleet.clock.now() - since, 10 * SPREAD_SECONDS)
            for _ in range(HOPS):
                gevent.sleep(0)
            fleet.run(TIMES.tick)
        return fleet.clock.now() - since

    def test_all_routers_know_within_two_seconds(self) -> None:
        for count in (3, 9, 60):
            with self.subTest(routers=count):
                fleet, routers = self.start(count)
                routers["r1"].report_leaving("a")
                self.assertLessEqual(self.seconds_until_known(fleet, routers, "a"), SPREAD_SECONDS)
                routers["r2"].apply_vm_list(
                    [Vm(name="vm-b", data_centre="", state=VmState.LEAVING)]
                )
                self.assertLessEqual(self.seconds_until_known(fleet, routers, "b"), SPREAD_SECONDS)

    def test_gossip_alone_is_fast_enough_for_a_small_fleet(self) -> None:
        fleet, routers = self.start(9, linked=False)
        routers["r1"].report_leaving("a")
        self.assertLessEqual(self.seconds_until_known(fleet, routers, "a"), SPREAD_SECONDS)

    def test_direct_messages_reach_nearly_all_and_each_router_forwards_once(self) -> None:
        fleet, routers = self.start(60)
        routers["r1"].report_leaving("a")
        for _ in range(HOPS):
            gevent.sleep(0)
        known = sum(not router.may_send("a") for router in routers.values())
        self.assertGreater(known, 50)
        self.assertEqual(self.network.sent_messages, NEIGHBOURS * known)

    def test_a_router_that_starts_later_learns_of_leaving_targets(self) -> None:
        fleet, routers = self.start(5)
        routers["r1"].report_leaving("a")
        fleet.run(SPREAD_SECONDS)
        members = fleet.start("late")
        fleet.run(SPREAD_SECONDS)
        late = make_known_targets(fleet.clock, MemoryEngines(), members, NoPeers())
        objects = [Service(metadata=Metadata(name="model")), target("a"), target("b")]
        change = Change(change_id="c", puts=[Put(object=item) for item in objects])
        late.reconfigure(Routing(fold(ConfigState(), 0, change)[0]))
        self.assertEqual([late.may_send("a"), late.may_send("b")], [False, True])


if __name__ == "__main__":
    unittest.main()
