"""Tests of membership on a clock and a datagram network that the test advances."""

from __future__ import annotations

import unittest

from loomyard.external.vm_list import Vm, VmState
from loomyard_router.members.datagram_seal import DatagramSeal
from loomyard_router.members.membership import Member, MemberState
from loomyard_router.members.prober import GOSSIP_FANOUT
from loomyard_router.members.swim import SwimMembership, SwimTimes
from loomyard_router.members.table_sync import TableSync
from loomyard_router.peers.fleet_secret import make_fleet_secret
from loomyard_router.peers.traffic import TrafficCounters
from loomyard_standins.fake_clock import FakeClock
from loomyard_standins.memory_datagrams import DatagramNetwork
from loomyard_standins.memory_network import MemoryNetwork

TIMES = SwimTimes()
SECRET = "secret"
DEAD_WITHIN = 6.0
SPREAD_WITHIN = 6.0


class Fleet:
    """Routers in one process; ``run`` ticks all but the killed and paused ones."""

    def __init__(self, count: int) -> None:
        self.clock = FakeClock()
        self.network = DatagramNetwork(seed=5)
        self.members: dict[str, SwimMembership] = {}
        self.traffic: dict[str, TrafficCounters] = {}
        self.paused: set[str] = set()
        for number in range(count):
            self.start(f"r{number}")
        self.run(SPREAD_WITHIN)

    def start(
        self, name: str, *, incarnation: int = 1, secret: str = SECRET, seed: str = "r0"
    ) -> SwimMembership:
        traffic = self.traffic[name] = TrafficCounters()
        member = SwimMembership(
            own=Member(name=name, incarnation=incarnation, address=f"{name}:1", data_centre="a"),
            datagrams=self.network.join(f"{name}:1"),
            seal=DatagramSeal(make_fleet_secret([secret]), self.clock),
            clock=self.clock,
            traffic=traffic,
            seeds=(f"{seed}:1",),
            times=TIMES,
            seed=len(self.members),
        )
        self.network.attach(f"{name}:1", member.receive)
        self.members[name] = member
        return member

    def kill(self, name: str) -> SwimMembership:
        self.network.detach(f"{name}:1")
        return self.members.pop(name)

    def run(self, seconds: float) -> None:
        until = self.clock.now() + seconds
        while self.clock.now() < until:
            self.clock.advance(TIMES.tick)
            for name, member in list(self.members.items()):
                if name not in self.paused:
                    member.tick()
                    self.network.flush()

    def pause_after_probe(self, name: str, seconds: float) -> None:
        """Pause a router once it has pinged; datagrams to it are delivered after its next tick."""
        receive = self.members[name].receive
        waiting: list[bytes] = []
        self.network.attach(f"{name}:1", waiting.append)
        sent = self.traffic[name].sent_messages
        while self.traffic[name].sent_messages == sent:
            self.run(TIMES.tick)
        self.paused.add(name)
        self.run(seconds)
        self.paused.remove(name)
        self.network.attach(f"{name}:1", receive)
        self.members[name].tick()
        for data in waiting:
            receive(data)

    def states(self, of: str) -> set[MemberState | None]:
        found = [member.find(of) for member in self.members.values()]
        return {member.state if member else None for member in found}

    def live(self) -> set[tuple[str, ...]]:
        return {tuple(m.name for m in member.live()) for member in self.members.values()}


class SwimTest(unittest.TestCase):
    def test_a_killed_router_is_declared_dead_everywhere(self) -> None:
        fleet = Fleet(5)
        self.assertEqual(fleet.live(), {("r0", "r1", "r2", "r3", "r4")})
        fleet.kill("r3")
        fleet.run(DEAD_WITHIN)
        self.assertEqual(fleet.states("r3"), {MemberState.DEAD})
        self.assertEqual(fleet.live(), {("r0", "r1", "r2", "r4")})

    def test_a_router_is_suspected_before_it_is_declared_dead(self) -> None:
        fleet = Fleet(4)
        seen = []
        fleet.members["r0"].subscribe(lambda: seen.append(fleet.members["r0"].find("r3").state))
        fleet.kill("r3")
        fleet.run(DEAD_WITHIN)
        self.assertEqual(seen, [MemberState.SUSPECT, MemberState.DEAD])

    def test_indirect_probes_prevent_suspicion_of_a_router_that_one_cannot_reach(self) -> None:
        fleet = Fleet(5)
        fleet.network.cut({"r0:1"}, {"r1:1"})
        states = set()
        fleet.members["r0"].subscribe(lambda: states.add(fleet.members["r0"].find("r1").state))
        fleet.run(30.0)
        self.assertEqual(states, set())

    def test_false_suspicion_is_refuted(self) -> None:
        fleet = Fleet(4)
        fleet.paused.add("r2")
        fleet.network.cut({"r2:1"}, {"r0:1", "r1:1", "r3:1"})
        while fleet.states("r2") != {MemberState.SUSPECT, MemberState.ALIVE}:
            fleet.run(TIMES.tick)
        fleet.network.heal()
        fleet.paused.clear()
        fleet.run(SPREAD_WITHIN)
        self.assertEqual(fleet.states("r2"), {MemberState.ALIVE})
        self.assertEqual(fleet.members["r0"].find("r2").incarnation, 1)

    def test_both_sides_of_a_partition_rejoin(self) -> None:
        fleet = Fleet(6)
        left, right = {"r0:1", "r1:1", "r2:1"}, {"r3:1", "r4:1", "r5:1"}
        fleet.network.cut(left, right)
        fleet.run(60.0)
        self.assertEqual(fleet.live(), {("r0", "r1", "r2"), ("r3", "r4", "r5")})
        fleet.network.heal()
        fleet.run(10.0)
        self.assertEqual(fleet.live(), {("r0", "r1", "r2", "r3", "r4", "r5")})

    def test_an_old_incarnation_does_not_return(self) -> None:
        fleet = Fleet(4)
        old = fleet.kill("r3")
        fleet.start("r3", incarnation=2)
        fleet.run(SPREAD_WITHIN)
        fleet.kill("r3")
        fleet.run(60.0)
        fleet.network.attach("r3:1", old.receive)
        fleet.members["r3"] = old
        fleet.run(60.0)
        for name in ("r0", "r1", "r2"):
            self.assertEqual(fleet.members[name].find("r3").state, MemberState.DEAD)
            self.assertEqual(fleet.members[name].find("r3").incarnation, 2)

    def test_a_restart_whose_clock_is_behind_raises_its_incarnation(self) -> None:
        fleet = Fleet(3)
        fleet.kill("r2")
        fleet.start("r2", incarnation=0)
        fleet.run(SPREAD_WITHIN)
        self.assertEqual(fleet.states("r2"), {MemberState.ALIVE})
        self.assertEqual(fleet.members["r2"].own.incarnation, 2)
        self.assertEqual(fleet.members["r0"].find("r2").incarnation, 2)

    def test_routers_without_the_secret_and_replays_are_refused(self) -> None:
        fleet = Fleet(3)
        outsider = fleet.start("r9", secret="wrong")
        fleet.run(SPREAD_WITHIN)
        self.assertEqual(outsider.live(), (outsider.own,))
        fleet.kill("r9")
        self.assertEqual(fleet.states("r9"), {None})
        refused = fleet.traffic["r1"].kinds["datagram"].refused_messages
        to_r1 = [data for _, to, data in fleet.network.carried if to == "r1:1"][-20:]
        for data in to_r1:
            fleet.members["r1"].receive(data)
        # A datagram for one router is not accepted by another.
        fleet.members["r1"].receive(next(d for _, to, d in fleet.network.carried if to == "r2:1"))
        now_refused = fleet.traffic["r1"].kinds["datagram"].refused_messages
        self.assertEqual(now_refused - refused, 21)

    def test_a_paused_router_is_notified_and_returns(self) -> None:
        fleet = Fleet(4)
        paused = fleet.members["r1"]
        notified = []
        paused.subscribe_pause(notified.append)
        paused.subscribe(lambda: notified.append("change"))
        fleet.run(5.0)
        self.assertEqual(notified, [])
        fleet.kill("r1")
        fleet.run(20.0)
        self.assertEqual(fleet.states("r1"), {MemberState.DEAD})
        fleet.network.attach("r1:1", paused.receive)
        fleet.members["r1"] = paused
        fleet.run(10.0)
        self.assertEqual(len(notified), 1, "one pause, and the paused router declared none dead")
        self.assertAlmostEqual(notified[0], 20.0, delta=2 * TIMES.tick)
        self.assertEqual(fleet.live(), {("r0", "r1", "r2", "r3")})

    def test_items_reach_all_despite_lost_and_duplicated_datagrams(self) -> None:
        fleet = Fleet(8)
        received = {name: [] for name in fleet.members}
        for name, member in fleet.members.items():
            member.subscribe_topic(
                "leaving", lambda key, value, to=received[name]: to.append(value)
            )
        fleet.network.loss = 0.3
        fleet.network.doubled = 0.2
        until = fleet.clock.now() + 60.0
        fleet.members["r0"].announce("leaving", "engine-1", 5, until=until)
        fleet.members["r1"].announce("leaving", "engine-1", 4, until=until)
        fleet.run(30.0)
        for name in fleet.members:
            self.assertEqual(received[name][-1:], [] if name == "r0" else [5], name)
        fleet.run(60.0)
        late = []
        fleet.members["r2"].subscribe_topic("leaving", lambda key, value: late.append(value))
        self.assertEqual(late, [])

    def test_an_item_reaches_a_large_fleet_at_once(self) -> None:
        fleet = Fleet(60)
        at = {}
        for name, member in fleet.members.items():
            member.subscribe_topic(
                "version", lambda *_, to=name: at.setdefault(to, fleet.clock.now())
            )
        sent = sum(traffic.sent_messages for traffic in fleet.traffic.values())
        began = fleet.clock.now()
        fleet.members["r0"].announce("version", "", 7, until=began + 60.0)
        fleet.run(0.5)
        self.assertEqual(59, len(at))
        # Each router gossips to a few others once, and each of these answers.
        more = sum(traffic.sent_messages for traffic in fleet.traffic.values()) - sent
        self.assertLessEqual(more, 60 * 2 * (GOSSIP_FANOUT + 2))

    def test_a_late_joiner_receives_old_items(self) -> None:
        fleet = Fleet(4)
        fleet.members["r0"].announce("version", "", 7, until=fleet.clock.now() + 500.0)
        fleet.run(60.0)
        received = []
        fleet.start("r4").subscribe_topic("version", lambda key, value: received.append(value))
        fleet.run(SPREAD_WITHIN)
        self.assertEqual(received, [7])

    def test_a_joiner_of_a_large_fleet_fetches_the_table(self) -> None:
        fleet = Fleet(2)
        network = MemoryNetwork()
        syncs = {}
        for number in range(2, 60):
            fleet.start(f"r{number}")
        for name, member in fleet.members.items():
            syncs[name] = TableSync(member, network.join(member.own), fleet.clock)
        while len(fleet.live()) > 1:
            fleet.run(TIMES.period)
            for sync in syncs.values():
                sync.sync()
        fleet.run(60.0)
        joiner = fleet.start("r99")
        sync = TableSync(joiner, network.join(joiner.own), fleet.clock)
        for _ in range(6):
            fleet.run(TIMES.period)
            sync.sync()
        self.assertEqual(len(joiner.live()), 61)

    def test_answers_that_arrived_during_a_pause_count(self) -> None:
        fleet = Fleet(3)
        states = set()
        slow = fleet.members["r0"]
        slow.subscribe(lambda: states.update(member.state for member in slow.live()))
        fleet.pause_after_probe("r0", 2.0)
        fleet.run(SPREAD_WITHIN)
        self.assertEqual(states, set())

    def test_a_suspicion_does_not_expire_during_a_pause_of_its_holder(self) -> None:
        fleet = Fleet(3)
        holder = fleet.members["r0"]
        states = set()
        holder.subscribe(lambda: states.update(holder.find(name).state for name in ("r1", "r2")))
        fleet.network.cut({"r0:1"}, {"r1:1", "r2:1"})
        while MemberState.SUSPECT not in states:
            fleet.run(TIMES.tick)
        fleet.network.heal()
        fleet.pause_after_probe("r0", 4.0)
        fleet.run(SPREAD_WITHIN)
        self.assertEqual(states, {MemberState.SUSPECT, MemberState.ALIVE})

    def test_a_leaving_router_is_known_but_not_live(self) -> None:
        fleet = Fleet(4)
        fleet.members["r2"].leave()
        fleet.run(SPREAD_WITHIN)
        self.assertEqual(fleet.states("r2"), {MemberState.LEAVING})
        self.assertEqual(fleet.live(), {("r0", "r1", "r3")})
        fleet.members["r2"].stop()
        fleet.kill("r2")
        fleet.run(2 * TIMES.period)
        self.assertEqual(fleet.states("r2"), {MemberState.DEAD})

    def test_the_vm_list_gives_addresses_and_leaving_vms(self) -> None:
        fleet = Fleet(2)
        alone = fleet.start("r5", seed="nowhere")
        fleet.run(SPREAD_WITHIN)
        self.assertEqual(alone.live(), (alone.own,))
        vm = Vm(name="r1", data_centre="a", address="r1:1", state=VmState.LEAVING)
        alone.apply_vm_list([vm])
        fleet.run(SPREAD_WITHIN)
        self.assertEqual([member.name for member in alone.live()], ["r0", "r5"])
        self.assertEqual(alone.find("r1").state, MemberState.LEAVING)

    def test_datagrams_per_router_do_not_grow_with_the_fleet(self) -> None:
        rates = []
        for count in (4, 24):
            fleet = Fleet(count)
            fleet.run(20.0)
            before = fleet.traffic["r1"].sent_messages
            fleet.run(50.0)
            rates.append((fleet.traffic["r1"].sent_messages - before) / 50.0)
        self.assertLess(rates[1], 1.2 * rates[0])


if __name__ == "__main__":
    unittest.main()
