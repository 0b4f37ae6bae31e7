"""Tests of the slots of engines, handed out by one slot owner for all routers."""

from __future__ import annotations

import unittest

import gevent
from attrs import evolve

from loomyard.errors import ResultCode
from loomyard_router.admission.account_backlog import MAX_WAITING
from loomyard_router.admission.slot_messages import SlotsHeld
from loomyard_router.admission.slot_owner import EXPIRY_SECONDS
from loomyard_router.admission.target_loads import MIN_SLOTS
from loomyard_router.announced.target_notice import TargetNotice
from loomyard_router.members.membership import Member
from test_loomyard_router.test_admission.slots_case import SLOTS, Fleet

# Seconds. Far shorter than the wait of the request, and longer than a busy VM takes to end it.
WAIT = 3.0


class TestSlots(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = Fleet(1)

    def acquire(self, router: int, **options: object):  # noqa: ANN201
        request = self.fleet.request(**options)  # type: ignore[arg-type]
        return self.fleet.routers[router].gate.acquire(request, frozenset())

    def test_all_routers_together_get_the_slots_of_a_target(self) -> None:
        acquired = [self.acquire(0, number=n) for n in range(SLOTS)]
        self.assertTrue(all(permit.is_ok() for permit in acquired))
        self.assertTrue(self.acquire(1).is_err())
        acquired[0].unwrap().release()
        gevent.sleep(0.01)
        self.assertTrue(self.acquire(2).is_ok())
        self.assertTrue(self.acquire(1).is_err())

    def test_while_the_slot_owner_is_unresponsive_a_router_waits_for_its_quota(self) -> None:
        """Otherwise a router that gets all callers of an account refuses half within 28 ms."""
        incarnation = self.fleet.targets[0].incarnation
        owner = self.fleet.routers[0].client.owner_of(incarnation)
        router = next(one for one in self.fleet.routers if one.members.own.name != owner)
        self.fleet.network.cut({owner}, {router.members.own.name})
        permits = [
            router.gate.acquire(self.fleet.request(number=n), frozenset()).unwrap()
            for n in range(MIN_SLOTS)
        ]
        gevent.spawn_later(0.01, permits[0].release)
        request = self.fleet.request(number=9, objective=2.0)
        self.assertTrue(router.gate.acquire(request, frozenset()).is_ok())

    def test_a_wait_for_a_target_that_begins_to_leave_ends_at_once(self) -> None:
        """Otherwise the request waits for a slot it may not use, though other targets have some."""
        target = self.fleet.targets[0]
        changes = {
            "by its entry": lambda registry: registry.apply([evolve(target, draining=True)], []),
            "by its notice": lambda registry: registry.apply_notice(
                target, TargetNotice(leaving=True)
            ),
            "by an evacuation of its data centre": lambda registry: registry.set_evacuated(
                frozenset([""])
            ),
        }
        for change, make in changes.items():
            with self.subTest(change=change):
                self.fleet = Fleet(1)
                for number in range(SLOTS):
                    self.acquire(0, number=number)
                waiting = gevent.spawn(self.acquire, 1, number=9, objective=1000.0)
                gevent.sleep(0.01)
                self.assertFalse(waiting.ready())
                for router in self.fleet.routers:
                    make(router.registry)
                self.assertTrue(waiting.get(timeout=WAIT).is_err())

    def test_a_target_from_which_its_slot_owner_backs_off_serves_other_routers(self) -> None:
        target = self.fleet.targets[0]
        owner = self.owner_name(target.id)
        for router in self.fleet.routers:
            if router.members.own.name == owner:
                router.registry.apply_notice(target, TargetNotice(backoff_seconds=60.0))
        acquired = [self.acquire(number, number=number).is_ok() for number in range(3)]
        self.assertEqual(2, sum(acquired))

    def test_a_refusal_has_a_time_until_the_retry(self) -> None:
        for number in range(SLOTS):
            self.acquire(0, number=number)
        fault = self.acquire(1).unwrap_err()
        self.assertGreater(fault.retry_after, 0)

    def test_the_account_with_the_least_usage_is_served_first(self) -> None:
        # Through all routers: one that never reported an account gets no usage of it in replies.
        acquired = [self.acquire(n % 3, number=n, account="greedy").unwrap() for n in range(SLOTS)]
        self.fleet.report()
        order: list[str] = []

        def wait(account: str, number: int) -> None:
            if self.acquire(number % 3, account=account, number=number).is_ok():
                order.append(account)

        waiting = [gevent.spawn(wait, "greedy", n) for n in range(3)]
        gevent.sleep(0.01)
        waiting.append(gevent.spawn(wait, "small", 9))
        gevent.sleep(0.01)
        for permit in acquired[:2]:
            permit.release()
            gevent.sleep(0.01)
        gevent.joinall(waiting)
        self.assertEqual(["small", "greedy"], order)

    def test_the_slots_of_a_dead_router_become_free(self) -> None:
        fleet = self.fleet
        owner = self.owner_name("e0")
        dying = next(n for n in range(3) if f"r{n}" != owner)
        for number in range(SLOTS):
            self.assertTrue(self.acquire(dying, number=number).is_ok())
        live = [member for member in fleet.members if member.name != f"r{dying}"]
        for number, router in enumerate(fleet.routers):
            if number != dying:
                router.members.change(live)
        requesting = next(n for n in range(3) if n != dying)
        self.assertTrue(self.acquire(requesting).is_ok())

    def test_the_next_renewal_makes_up_for_a_lost_release(self) -> None:
        fleet = self.fleet
        permits = [self.acquire(0, number=n).unwrap() for n in range(SLOTS)]
        owner = self.owner_name("e0")
        others = {f"r{n}" for n in range(3)} - {owner}
        fleet.network.cut({owner}, others)
        for permit in permits[:2]:
            permit.release()
        gevent.sleep(0.01)
        fleet.network.heal()
        fleet.clock.advance(1.0)
        for router in fleet.routers:
            router.client.renew()
        gevent.sleep(0.01)
        self.assertEqual([True, True, False], [self.acquire(1, number=n).is_ok() for n in range(3)])

    def test_a_new_slot_owner_gets_the_held_permits_at_once(self) -> None:
        fleet = self.fleet
        owner = self.owner_name("e0")
        holder = next(n for n in range(3) if f"r{n}" != owner)
        for number in range(SLOTS):
            self.assertTrue(self.acquire(holder, number=number).is_ok())
        live = [member for member in fleet.members if member.name != owner]
        fleet.network.leave(owner)
        for router in fleet.routers:
            if router.members.own.name != owner:
                router.members.change(live)
        gevent.sleep(0.01)
        self.assertTrue(self.acquire(holder, number=9).is_err())

    def test_permits_that_are_not_renewed_expire(self) -> None:
        fleet = self.fleet
        owner = next(r for r in fleet.routers if r.members.own.name == self.owner_name("e0"))
        stranger = Member(name="r9", incarnation=1, address="", data_centre="")
        owner.slot_owner.renew(stranger, SlotsHeld(held={"e0": list(range(SLOTS))}))
        self.assertTrue(self.acquire(0).is_err())
        fleet.clock.advance(EXPIRY_SECONDS + 0.1)
        owner.slot_owner.sweep()
        self.assertTrue(self.acquire(0).is_ok())

    def test_a_caller_that_leaves_while_it_waits_gets_no_slot(self) -> None:
        permits = [self.acquire(0, number=n).unwrap() for n in range(SLOTS)]
        request = self.fleet.request(number=9)
        waiting = gevent.spawn(self.fleet.routers[1].gate.acquire, request, frozenset())
        gevent.sleep(0.01)
        request.presence.mark_gone()
        permits[0].release()
        self.assertTrue(waiting.get().is_err())
        gevent.sleep(0.01)
        self.assertTrue(self.acquire(2).is_ok())

    def test_an_account_with_a_full_backlog_is_refused_at_once(self) -> None:
        permits = [self.acquire(0, number=n).unwrap() for n in range(SLOTS)]
        # Long waits, so that none ends by itself on a busy VM.
        waiting = [
            gevent.spawn(self.acquire, 1, number=n, objective=100.0) for n in range(MAX_WAITING)
        ]
        self.addCleanup(gevent.killall, waiting)
        backlog = self.fleet.routers[1].gate._backlog
        with gevent.Timeout(10):
            while not backlog.is_full("north"):
                gevent.sleep(0.002)
        self.assertIs(ResultCode.QUEUE_FULL, self.acquire(1, number=99).unwrap_err().code)
        self.assertFalse(any(one.ready() for one in waiting))
        permits[0].release()
        (served,) = gevent.wait(waiting, count=1)
        self.assertTrue(served.value.is_ok())

    def test_an_account_over_its_share_leaves_slots_to_others(self) -> None:
        self.fleet.rate = 100.0
        self.assertEqual([True, True, True, False], self.acquire_four("greedy"))
        self.assertTrue(self.acquire(0, account="small", number=9, prompt_tokens=10).is_ok())

    def test_a_single_account_may_use_the_whole_rate(self) -> None:
        self.fleet.rate = 1000.0
        self.assertEqual([True] * 4, self.acquire_four("greedy"))

    def test_a_waiting_account_that_may_not_use_a_free_slot_does_not_block_others(self) -> None:
        self.fleet.rate = 100.0
        self.acquire_four("greedy")
        waiting = gevent.spawn(self.acquire, 1, account="greedy", number=5, prompt_tokens=300)
        gevent.sleep(0.01)
        self.assertFalse(waiting.ready())
        self.assertTrue(self.acquire(0, account="small", number=9, prompt_tokens=10).is_ok())
        self.assertFalse(waiting.ready())
        waiting.get()

    def test_an_account_far_over_its_share_does_not_wait(self) -> None:
        self.fleet.rate = 100.0
        permits = [
            self.acquire(n % 3, account="greedy", number=n, prompt_tokens=300) for n in range(3)
        ]
        for number in range(3, SLOTS):
            self.acquire(0, account="small", number=number, prompt_tokens=10)
        # Another account has as much demand, so greedy's share is half of what was served.
        self.fleet.routers[0].ledger.record_demand("other", 1000.0)
        self.fleet.report()
        waiting = gevent.spawn(self.acquire, 1, account="greedy", number=5, prompt_tokens=300)
        patient = gevent.spawn(self.acquire, 1, account="small", number=6, prompt_tokens=10)
        gevent.sleep(0.02)
        self.assertTrue(waiting.value.is_err())
        self.assertFalse(patient.ready())
        permits[0].unwrap().release()
        self.assertTrue(patient.get().is_ok())

    def acquire_four(self, account: str) -> list[bool]:
        """Acquire slots through all routers, each of which knows the usage through the others."""
        granted = []
        for number in range(SLOTS):
            acquired = self.acquire(number % 3, account=account, number=number, prompt_tokens=300)
            granted.append(acquired.is_ok())
            self.fleet.report()
        return granted

    def owner_name(self, target: str) -> str:
        return self.fleet.routers[0].client.owner_of(target)


if __name__ == "__main__":
    unittest.main()
