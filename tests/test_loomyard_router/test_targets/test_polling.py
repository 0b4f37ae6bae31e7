"""Tests that one router polls each target and sends the results to the others."""

from __future__ import annotations

import unittest

import gevent
from attrs import evolve

from loomyard.configuration import Change, ConfigState, Put, fold
from loomyard.objects import Metadata, Service, ServiceType, Target
from loomyard.routing import Routing
from loomyard_router.members.membership import Member, SoleMembership
from loomyard_router.targets.known_targets import make_known_targets
from loomyard_router.targets.poll_assignment import PollAssignment
from loomyard_standins.fake_clock import FakeClock
from loomyard_standins.memory_engines import MemoryEngines
from loomyard_standins.memory_gossip import MemoryGossip
from loomyard_standins.memory_network import MemoryNetwork

NAMES = ("r0", "r1", "r2")
TARGETS = [f"t{number}" for number in range(12)]


def member(name: str) -> Member:
    return Member(name=name, incarnation=1, address="", data_centre="")


class SharedMembers(SoleMembership):
    """A membership whose live routers a test sets."""

    def __init__(self, name: str) -> None:
        super().__init__(member(name))
        self.names = NAMES
        self._changed: list = []

    def live(self) -> tuple[Member, ...]:
        return tuple(member(name) for name in self.names)

    def subscribe(self, changed) -> None:
        self._changed.append(changed)

    def set_names(self, *names: str) -> None:
        self.names = names
        for changed in self._changed:
            changed()


class PollingTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock, self.engines, network = FakeClock(), MemoryEngines(), MemoryNetwork()
        self.members = {name: SharedMembers(name) for name in NAMES}
        gossip = MemoryGossip()
        self.routers = {
            name: make_known_targets(
                self.clock,
                self.engines,
                self.members[name],
                network.join(member(name)),
                gossip=gossip.join(),
            )
            for name in NAMES
        }
        self.targets = {
            name: Target(metadata=Metadata(name=name), url=f"http://{name}", services=["model"])
            for name in TARGETS
        }
        plain = Target(metadata=Metadata(name="p"), url="http://p", services=["records"])
        objects = [
            Service(metadata=Metadata(name="model")),
            Service(metadata=Metadata(name="records"), type=ServiceType.PLAIN),
            plain,
            *self.targets.values(),
        ]
        change = Change(change_id="c", puts=[Put(object=item) for item in objects])
        routing = Routing(fold(ConfigState(), 0, change)[0])
        for router in self.routers.values():
            router.reconfigure(routing)
        for name in (*TARGETS, "p"):
            self.engines.add(f"http://{name}", "model")

    def run_for(self, seconds: int, *names: str) -> None:
        for _ in range(seconds * 2):
            self.clock.advance(0.5)
            for name in names or NAMES:
                self.routers[name].tick()
            for _ in range(4):
                gevent.sleep(0)

    def polls(self) -> dict[str, int]:
        return {name: self.engines.engines[f"http://{name}"].polls for name in (*TARGETS, "p")}

    def test_one_router_polls_each_model_target_and_none_a_plain_one(self) -> None:
        self.run_for(20)
        polls = self.polls()
        self.assertEqual(polls.pop("p"), 0)
        for count in polls.values():
            self.assertIn(count, range(10, 25))

    def test_other_routers_poll_the_targets_of_a_lost_router(self) -> None:
        for name in ("r0", "r1"):
            self.members[name].set_names("r0", "r1")
        before = self.polls()
        self.run_for(10, "r0", "r1")
        grown = [count - before[name] for name, count in self.polls().items() if name != "p"]
        self.assertGreater(min(grown), 4)

    def test_a_leaving_target_gets_no_work_until_it_reports_otherwise(self) -> None:
        engine = self.engines.engines["http://t0"]
        engine.report = evolve(engine.report, leaving=True)
        self.run_for(3)
        seen = []
        for router in self.routers.values():
            router.subscribe(lambda router=router: seen.append(router.may_send("t0")))
        self.run_for(200)
        self.assertNotIn(True, seen)
        engine.report = evolve(engine.report, leaving=False)
        self.run_for(15)
        self.assertTrue(all(router.may_send("t0") for router in self.routers.values()))

    def test_slot_estimates_reach_the_other_routers(self) -> None:
        for name in TARGETS:
            engine = self.engines.engines[f"http://{name}"]
            engine.report = evolve(engine.report, running=8)
        self.run_for(3)
        for target in self.targets.values():
            self.assertEqual({r.slots(target) for r in self.routers.values()}, {10})


class PollAssignmentTest(unittest.TestCase):
    def test_incremental_assignment_equals_a_full_one(self) -> None:
        names = {f"router-{number}" for number in range(20)}
        keys = [f"target-{number}" for number in range(100)]
        stepwise = {name: PollAssignment(name) for name in names}
        for assignment in stepwise.values():
            assignment.set_keys(keys)
            for count in (5, 20, 12, 3, 18):
                assignment.set_routers(sorted(names)[:count])
            assignment.set_routers(names)
        for key in keys:
            owners = [name for name, assignment in stepwise.items() if assignment.is_own(key)]
            fresh = PollAssignment(owners[0])
            fresh.set_routers(names)
            fresh.set_keys([key])
            self.assertEqual((len(owners), fresh.is_own(key)), (1, True))


if __name__ == "__main__":
    unittest.main()
