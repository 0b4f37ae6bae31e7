"""Tests of the target directory: leaving, ejection, back-off and loaded services."""

from __future__ import annotations

import unittest

import gevent
from attrs import evolve

from loomyard.configuration import Change, ConfigState, Put, fold
from loomyard.configuration.change import ABSENT
from loomyard.external.vm_list import Vm, VmState
from loomyard.objects import Metadata, Service, ServiceType, Target, TargetState, ref_of
from loomyard.routing import Routing
from loomyard_router.members.membership import Member, SoleMembership
from loomyard_router.targets.health import FAILURES_TO_EJECT, MAX_BACKOFF
from loomyard_router.targets.known_targets import (
    TARGET_EXPIRY_SECONDS,
    TARGET_HOLD_SECONDS,
    VM_HOLD_SECONDS,
    make_known_targets,
)
from loomyard_standins.fake_clock import FakeClock
from loomyard_standins.memory_engines import MemoryEngines
from loomyard_standins.memory_gossip import MemoryGossip
from loomyard_standins.memory_network import MemoryNetwork
from loomyard_standins.vm_list import MemoryVmList

URL = "http://{}"


def target(name: str, **fields: object) -> Target:
    fields = {"services": ["assistant"], **fields}
    return Target(metadata=Metadata(name=name), url=URL.format(name), **fields)


class TargetsCase(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock()
        self.engines = MemoryEngines()
        self.gossip = MemoryGossip()
        self.network = MemoryNetwork()
        self.vm_list = MemoryVmList()
        self.state = ConfigState()
        self.routers = [self.make_router(f"router-{n}") for n in range(2)]
        services = [
            Service(metadata=Metadata(name="assistant")),
            Service(metadata=Metadata(name="records"), type=ServiceType.PLAIN),
        ]
        self.publish(*services, *[target(name, vm=f"vm-{name}") for name in "abcd"])
        for name in "abcd":
            self.engines.add(URL.format(name), "assistant")

    def make_router(self, name: str):
        own = Member(name=name, incarnation=1, address="", data_centre="")
        return make_known_targets(
            self.clock,
            self.engines,
            SoleMembership(own),
            self.network.join(own),
            gossip=self.gossip.join(),
        )

    def publish(self, *objects: object) -> None:
        puts = []
        for item in objects:
            found = self.state.get(ref_of(item))
            puts.append(Put(object=item, based_on=found.version if found else ABSENT))
        change = Change(change_id="c", puts=puts)
        self.state, _ = fold(self.state, self.state.applied + 1, change)
        for router in self.routers:
            router.reconfigure(Routing(self.state))

    def pass_time(self, seconds: float) -> None:
        for _ in range(int(seconds / 0.5)):
            self.clock.advance(0.5)
            self.routers[0].apply_vm_list(self.vm_list.read().unwrap())
            for router in self.routers:
                router.tick()
            gevent.sleep(0)
            gevent.sleep(0)

    def set_leaving(self, name: str, leaving: bool) -> None:
        engine = self.engines.engines[URL.format(name)]
        engine.report = evolve(engine.report, leaving=leaving)

    def set_vm(self, name: str, state: VmState) -> None:
        self.vm_list.vms = [Vm(name=f"vm-{n}", data_centre="") for n in "abcd" if n != name]
        self.vm_list.vms.append(Vm(name=f"vm-{name}", data_centre="", state=state))
        self.vm_list.publish()

    def views(self, name: str) -> list[bool]:
        return [router.may_send(name) for router in self.routers]


class LeavingTest(TargetsCase):
    def test_each_source_stops_new_work_everywhere(self) -> None:
        self.assertEqual(self.views("a"), [True, True])
        self.publish(target("a", vm="vm-a", state=TargetState.LEAVING))
        self.routers[0].report_leaving("b")
        self.set_vm("c", VmState.LEAVING)
        self.pass_time(2.0)
        for name in "abc":
            self.assertEqual(self.views(name), [False, False], name)
        self.set_leaving("d", True)
        self.pass_time(2.0)
        self.assertEqual(self.views("d"), [False, False])

    def test_a_record_of_a_peer_alone_stops_new_work(self) -> None:
        seen: list[bool] = []
        self.routers[1].subscribe(lambda: seen.append(self.routers[1].may_send("a")))
        self.routers[0].report_leaving("a")
        self.assertEqual(seen, [False])

    def test_a_load_report_within_the_hold_does_not_end_leaving(self) -> None:
        self.set_vm("a", VmState.LIVE)
        self.pass_time(2.0)
        self.routers[0].report_leaving("a")
        self.pass_time(TARGET_HOLD_SECONDS - 2.0)
        self.assertEqual(self.views("a"), [False, False])

    def test_a_vm_list_within_the_hold_does_not_end_leaving(self) -> None:
        self.set_vm("a", VmState.LEAVING)
        self.pass_time(2.0)
        self.set_vm("a", VmState.LIVE)
        self.pass_time(VM_HOLD_SECONDS - 4.0)
        self.assertEqual(self.views("a"), [False, False])
        self.pass_time(6.0)
        self.assertEqual(self.views("a"), [True, True])

    def test_a_vm_that_vanishes_from_the_list_counts_as_leaving(self) -> None:
        self.set_vm("a", VmState.LIVE)
        self.pass_time(2.5)
        self.vm_list.vms = []
        self.vm_list.publish()
        self.pass_time(2.5)
        self.assertEqual(self.views("a"), [False, False])

    def test_wrong_returns_double_the_hold_and_a_true_return_is_learned(self) -> None:
        returns = 0
        for _ in range(240):
            if self.routers[0].may_send("a"):
                returns += 1
                self.routers[0].report_leaving("a")
            self.pass_time(1.0)
        self.assertIn(returns, range(3, 7))
        self.pass_time(TARGET_HOLD_SECONDS * 8)
        self.assertEqual(self.views("a"), [True, True])

    def test_a_new_configuration_ends_leaving_despite_late_records(self) -> None:
        self.gossip.cut = True
        self.routers[0].report_leaving("a")
        self.publish(target("a", vm="vm-a", slots=9))
        self.gossip.heal()
        self.assertEqual(self.views("a"), [True, True])

    def test_records_received_out_of_order(self) -> None:
        self.routers[0].report_leaving("a")
        self.gossip.cut = True
        self.pass_time(TARGET_HOLD_SECONDS + 2.0)
        self.routers[0].report_leaving("a")
        self.gossip.heal(backwards=True)
        self.assertEqual(self.views("a"), [False, False])

    def test_leaving_of_a_plain_target_expires(self) -> None:
        self.publish(target("p", services=["records"]))
        self.routers[1].report_leaving("p")
        self.pass_time(TARGET_EXPIRY_SECONDS - 1.0)
        self.assertEqual(self.views("p"), [False, False])
        self.pass_time(2.0)
        self.assertEqual(self.views("p"), [True, True])


class EjectionTest(TargetsCase):
    def eject(self, *names: str) -> None:
        for name in names:
            self.engines.engines[URL.format(name)].reachable = False
            for _ in range(FAILURES_TO_EJECT):
                self.routers[0].report_attempt(name, answered=False)

    def sendable(self) -> str:
        return "".join(name for name in "abcd" if self.routers[0].may_send(name))

    def test_an_ejection_lasts_until_a_probe_answers(self) -> None:
        self.eject("a")
        self.assertEqual(self.sendable(), "bcd")
        self.assertEqual(self.views("a"), [False, True])
        self.pass_time(10.0)
        self.assertEqual(self.sendable(), "bcd")
        self.engines.engines[URL.format("a")].reachable = True
        self.pass_time(MAX_BACKOFF)
        self.assertEqual(self.sendable(), "abcd")
        self.assertEqual(self.routers[0].slots(target("a")), 1)
        self.routers[0].report_attempt("a", answered=False)
        self.assertEqual(self.sendable(), "bcd")

    def test_an_answer_between_failures_prevents_ejection(self) -> None:
        for answered in (False, False, True, False, False):
            self.routers[0].report_attempt("a", answered=answered)
        self.assertEqual(self.sendable(), "abcd")

    def test_at_most_half_is_ejected_and_never_the_last(self) -> None:
        self.eject(*"abcd")
        self.assertEqual(self.sendable(), "cd")
        self.routers[0].report_leaving("d")
        self.assertEqual(self.sendable(), "bc")
        self.routers[0].report_leaving("c")
        self.routers[0].report_leaving("b")
        self.assertEqual(self.sendable(), "a")


class BackoffTest(TargetsCase):
    def test_only_the_asked_router_backs_off_until_the_latest_end(self) -> None:
        router = self.routers[0]
        router.report_backoff("a", self.clock.now() + 3.0)
        router.report_backoff("a", self.clock.now() + 1.0)
        self.assertEqual([False, True], self.views("a"))
        self.pass_time(2.0)
        self.assertEqual([False, True], self.views("a"))
        self.pass_time(1.5)
        self.assertEqual([True, True], self.views("a"))

    def test_backoff_applies_even_if_no_target_remains(self) -> None:
        for name in "abcd":
            self.routers[0].report_backoff(name, self.clock.now() + 3.0)
        self.assertEqual([False] * 4, [self.routers[0].may_send(name) for name in "abcd"])


class LoadedTest(TargetsCase):
    def test_only_loaded_services_may_be_sent(self) -> None:
        tagger = Service(metadata=Metadata(name="tagger"))
        self.publish(tagger, target("a", vm="vm-a", loadable=["tagger"]))
        router = self.routers[0]
        self.assertTrue(router.may_send("a", "assistant"))
        self.assertFalse(router.may_send("a", "tagger"))
        self.engines.engines[URL.format("a")].orders.models[:] = ["tagger"]
        self.pass_time(2.0)
        self.assertEqual([r.may_send("a", "tagger") for r in self.routers], [True, True])
        self.assertFalse(router.may_send("a", "assistant"))


if __name__ == "__main__":
    unittest.main()
