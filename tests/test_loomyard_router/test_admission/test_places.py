"""Tests of the places of engines, kept by one router for all."""

from __future__ import annotations

import unittest

import gevent
from attrs import evolve

from loomyard.errors import ResultCode
from loomyard_router.admission.account_backlog import MAX_WAITING
from loomyard_router.admission.place_keeper import SILENCE_SECONDS
from loomyard_router.admission.place_messages import PlacesHeld
from loomyard_router.admission.target_loads import MIN_SLOTS
from loomyard_router.announced.target_notice import TargetNotice
from loomyard_router.members.membership import Member
from test_loomyard_router.test_admission.slots_case import SLOTS, Fleet

# Well before the request would be refused, and longer than a busy machine takes to send it on.
WAIT = 3.0


class TestPlaces(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = Fleet(1)

    def take(self, router: int, **options: object):  # noqa: ANN201
        request = self.fleet.request(**options)  # type: ignore[arg-type]
        return self.fleet.routers[router].gate.acquire(request, frozenset())

    def test_the_fleet_shares_the_slots_whoever_asks(self) -> None:
        taken = [self.take(0, number=n) for n in range(SLOTS)]
        self.assertTrue(all(place.is_ok() for place in taken))
        self.assertTrue(self.take(1).is_err())
        taken[0].unwrap().release()
        gevent.sleep(0.01)
        self.assertTrue(self.take(2).is_ok())
        self.assertTrue(self.take(1).is_err())

    def test_with_its_keeper_silent_a_router_waits_for_its_own_part(self) -> None:
        """A router that all callers of an account met refused half of them within 28 ms."""
        life = self.fleet.targets[0].incarnation
        keeper = self.fleet.routers[0].client.owner_of(life)
        router = next(one for one in self.fleet.routers if one.members.own.name != keeper)
        self.fleet.network.cut({keeper}, {router.members.own.name})
        own = [
            router.gate.acquire(self.fleet.request(number=n), frozenset()).unwrap()
            for n in range(MIN_SLOTS)
        ]
        gevent.spawn_later(0.01, own[0].release)
        request = self.fleet.request(number=9, objective=2.0)
        self.assertTrue(router.gate.acquire(request, frozenset()).is_ok())

    def test_who_waits_at_a_target_that_begins_to_leave_is_sent_on_at_once(self) -> None:
        """Else it waits for a place that it may not use, while others have some."""
        target = self.fleet.targets[0]
        changes = {
            "its entry says so": lambda registry: registry.apply(
                [evolve(target, draining=True)], []
            ),
            "it said so": lambda registry: registry.apply_notice(
                target, TargetNotice(leaving=True)
            ),
            "its data centre is emptied": lambda registry: registry.set_evacuated(frozenset([""])),
        }
        for change, make in changes.items():
            with self.subTest(change=change):
                self.fleet = Fleet(1)
                for number in range(SLOTS):
                    self.take(0, number=number)
                waiting = gevent.spawn(self.take, 1, number=9, objective=1000.0)
                gevent.sleep(0.01)
                self.assertFalse(waiting.ready())
                for router in self.fleet.routers:
                    make(router.registry)
                self.assertTrue(waiting.get(timeout=WAIT).is_err())

    def test_one_that_rests_at_its_keeper_s_router_serves_others(self) -> None:
        target = self.fleet.targets[0]
        keeper = self.keeper_name(target.id)
        for router in self.fleet.routers:
            if router.members.own.name == keeper:
                router.registry.apply_notice(target, TargetNotice(backoff_seconds=60.0))
        taken = [self.take(number, number=number).is_ok() for number in range(3)]
        self.assertEqual(2, sum(taken))

    def test_a_refusal_says_when_to_come_back(self) -> None:
        for number in range(SLOTS):
            self.take(0, number=number)
        fault = self.take(1).unwrap_err()
        self.assertGreater(fault.retry_after, 0)

    def test_the_account_that_got_least_goes_first(self) -> None:
        # Through each router, as one that never saw an account does not know what it got.
        taken = [self.take(n % 3, number=n, account="greedy").unwrap() for n in range(SLOTS)]
        self.fleet.report()
        order: list[str] = []

        def wait(account: str, number: int) -> None:
            if self.take(number % 3, account=account, number=number).is_ok():
                order.append(account)

        waiting = [gevent.spawn(wait, "greedy", n) for n in range(3)]
        gevent.sleep(0.01)
        waiting.append(gevent.spawn(wait, "small", 9))
        gevent.sleep(0.01)
        for place in taken[:2]:
            place.release()
            gevent.sleep(0.01)
        gevent.joinall(waiting)
        self.assertEqual(["small", "greedy"], order)

    def test_a_router_that_dies_leaves_its_places_to_others(self) -> None:
        fleet = self.fleet
        keeper = self.keeper_name("e0")
        dying = next(n for n in range(3) if f"r{n}" != keeper)
        for number in range(SLOTS):
            self.assertTrue(self.take(dying, number=number).is_ok())
        live = [member for member in fleet.members if member.name != f"r{dying}"]
        for number, router in enumerate(fleet.routers):
            if number != dying:
                router.members.change(live)
        asking = next(n for n in range(3) if n != dying)
        self.assertTrue(self.take(asking).is_ok())

    def test_a_lost_release_is_mended_by_the_next_statement(self) -> None:
        fleet = self.fleet
        places = [self.take(0, number=n).unwrap() for n in range(SLOTS)]
        keeper = self.keeper_name("e0")
        others = {f"r{n}" for n in range(3)} - {keeper}
        fleet.network.cut({keeper}, others)
        for place in places[:2]:
            place.release()
        gevent.sleep(0.01)
        fleet.network.heal()
        fleet.clock.advance(1.0)
        for router in fleet.routers:
            router.client.state()
        gevent.sleep(0.01)
        self.assertEqual([True, True, False], [self.take(1, number=n).is_ok() for n in range(3)])

    def test_a_new_keeper_learns_at_once_what_is_held(self) -> None:
        fleet = self.fleet
        keeper = self.keeper_name("e0")
        holder = next(n for n in range(3) if f"r{n}" != keeper)
        for number in range(SLOTS):
            self.assertTrue(self.take(holder, number=number).is_ok())
        live = [member for member in fleet.members if member.name != keeper]
        fleet.network.leave(keeper)
        for router in fleet.routers:
            if router.members.own.name != keeper:
                router.members.change(live)
        gevent.sleep(0.01)
        self.assertTrue(self.take(holder, number=9).is_err())

    def test_places_of_which_nothing_is_heard_end(self) -> None:
        fleet = self.fleet
        keeper = next(r for r in fleet.routers if r.members.own.name == self.keeper_name("e0"))
        stranger = Member(name="r9", incarnation=1, address="", data_centre="")
        keeper.keeper.restate(stranger, PlacesHeld(held={"e0": list(range(SLOTS))}))
        self.assertTrue(self.take(0).is_err())
        fleet.clock.advance(SILENCE_SECONDS + 0.1)
        keeper.keeper.sweep()
        self.assertTrue(self.take(0).is_ok())

    def test_a_caller_that_goes_while_it_waits_gets_no_place(self) -> None:
        places = [self.take(0, number=n).unwrap() for n in range(SLOTS)]
        request = self.fleet.request(number=9)
        waiting = gevent.spawn(self.fleet.routers[1].gate.acquire, request, frozenset())
        gevent.sleep(0.01)
        request.presence.mark_gone()
        places[0].release()
        self.assertTrue(waiting.get().is_err())
        gevent.sleep(0.01)
        self.assertTrue(self.take(2).is_ok())

    def test_an_account_that_waits_too_often_is_refused_at_once(self) -> None:
        places = [self.take(0, number=n).unwrap() for n in range(SLOTS)]
        # Long waits, so that none ends by itself however busy the machine is.
        waiting = [
            gevent.spawn(self.take, 1, number=n, objective=100.0) for n in range(MAX_WAITING)
        ]
        self.addCleanup(gevent.killall, waiting)
        entered = self.fleet.routers[1].gate._waiting
        with gevent.Timeout(10):
            while not entered.is_full("north"):
                gevent.sleep(0.002)
        self.assertIs(ResultCode.QUEUE_FULL, self.take(1, number=99).unwrap_err().code)
        self.assertFalse(any(one.ready() for one in waiting))
        places[0].release()
        (served,) = gevent.wait(waiting, count=1)
        self.assertTrue(served.value.is_ok())

    def test_an_account_beyond_its_share_leaves_places_to_the_others(self) -> None:
        self.fleet.rate = 100.0
        self.assertEqual([True, True, True, False], self.take_four("greedy"))
        self.assertTrue(self.take(0, account="small", number=9, prompt_tokens=10).is_ok())

    def test_an_account_alone_has_all_of_the_rate(self) -> None:
        self.fleet.rate = 1000.0
        self.assertEqual([True] * 4, self.take_four("greedy"))

    def test_who_may_not_use_a_free_place_does_not_keep_others_from_it(self) -> None:
        self.fleet.rate = 100.0
        self.take_four("greedy")
        waiting = gevent.spawn(self.take, 1, account="greedy", number=5, prompt_tokens=300)
        gevent.sleep(0.01)
        self.assertFalse(waiting.ready())
        self.assertTrue(self.take(0, account="small", number=9, prompt_tokens=10).is_ok())
        self.assertFalse(waiting.ready())
        waiting.get()

    def test_an_account_far_beyond_its_share_does_not_wait(self) -> None:
        self.fleet.rate = 100.0
        places = [self.take(n % 3, account="greedy", number=n, prompt_tokens=300) for n in range(3)]
        for number in range(3, SLOTS):
            self.take(0, account="small", number=number, prompt_tokens=10)
        # Another account wants as much, so half of what was given would have been greedy's share.
        self.fleet.routers[0].ledger.ask("other", 1000.0)
        self.fleet.report()
        waiting = gevent.spawn(self.take, 1, account="greedy", number=5, prompt_tokens=300)
        patient = gevent.spawn(self.take, 1, account="small", number=6, prompt_tokens=10)
        gevent.sleep(0.02)
        self.assertTrue(waiting.value.is_err())
        self.assertFalse(patient.ready())
        places[0].unwrap().release()
        self.assertTrue(patient.get().is_ok())

    def take_four(self, account: str) -> list[bool]:
        """Take places through all routers, each knowing what the account got through the others."""
        given = []
        for number in range(SLOTS):
            taken = self.take(number % 3, account=account, number=number, prompt_tokens=300)
            given.append(taken.is_ok())
            self.fleet.report()
        return given

    def keeper_name(self, target: str) -> str:
        return self.fleet.routers[0].client.owner_of(target)


if __name__ == "__main__":
    unittest.main()
