"""Tests of the places of engines, kept by one router for all."""

from __future__ import annotations

import random
import unittest

import gevent

from loomyard.errors import ResultCode
from loomyard_router.admission.fleet_gate import MOST_OTHERS, MOST_OTHERS_OWN, FleetGate
from loomyard_router.admission.place_client import PlaceClient
from loomyard_router.admission.place_keeper import SILENCE_SECONDS, PlaceKeeper
from loomyard_router.admission.place_messages import PlaceRequest, PlacesHeld, PromptsRead
from loomyard_router.admission.share_ledger import ShareLedger
from loomyard_router.admission.target_health import TargetHealth
from loomyard_router.admission.target_loads import TargetLoads
from loomyard_router.admission.waiting_accounts import MOST_WAITING, WaitingAccounts
from loomyard_router.admission.waiting_time import RetryHint
from loomyard_router.announced.announced_target import AnnouncedTarget
from loomyard_router.announced.target_board import TargetBoard
from loomyard_router.members.membership import Member, SoleMembership
from loomyard_router.requests.presence import CallerPresence
from loomyard_router.routed.request_head import PromptPart, RequestHead
from loomyard_router.routed.routed_request import RoutedRequest
from loomyard_router.routes.account_terms import AccountTerms
from loomyard_standins.fake_clock import FakeClock
from loomyard_standins.memory_network import MemoryNetwork
from test_loomyard_router.test_routed.routed_case import route

SLOTS = 4


class Members(SoleMembership):
    """A membership whose live routers a test sets."""

    def __init__(self, own: Member, live: list[Member]) -> None:
        super().__init__(own)
        self._live = live
        self._listeners: list = []

    def live(self) -> tuple[Member, ...]:
        return tuple(self._live)

    def subscribe(self, changed: object) -> None:
        self._listeners.append(changed)

    def change(self, live: list[Member]) -> None:
        self._live = live
        for changed in self._listeners:
            changed()


class Router:
    """The parts of one router that deal with places."""

    def __init__(self, own: Member, fleet: Fleet) -> None:
        clock = fleet.clock
        self.members = Members(own, fleet.members)
        self.peers = fleet.network.join(own)
        self.board = TargetBoard(clock)
        self.board.replace_all(fleet.targets)
        self.keeper = PlaceKeeper(
            clock=clock,
            board=self.board,
            members=self.members,
            peers=self.peers,
        )
        self.ledger = ShareLedger(
            clock=clock,
            members=self.members,
            peers=self.peers,
            window=4.0,
            rate=lambda: fleet.rate,
            source=random.Random(1),
        )
        self.client = PlaceClient(
            clock=clock, members=self.members, peers=self.peers, keeper=self.keeper
        )
        self.gate = FleetGate(
            clock=clock,
            board=self.board,
            health=TargetHealth(clock),
            loads=TargetLoads(lambda: len(fleet.members)),
            client=self.client,
            ledger=self.ledger,
            waiting=WaitingAccounts(self.ledger),
            hint=RetryHint(random.Random(1)),
        )


class Fleet:
    """Three routers and some engines."""

    def __init__(self, engines: int) -> None:
        self.clock = FakeClock()
        self.rate = 0.0
        self.network = MemoryNetwork()
        self.members = [
            Member(name=f"r{n}", incarnation=1, address="", data_centre="") for n in range(3)
        ]
        self.targets = [
            AnnouncedTarget(id=f"e{n}", service="engine", address=f"127.0.0.1:{n}", slots=SLOTS)
            for n in range(engines)
        ]
        self.routers = [Router(member, self) for member in self.members]

    def report(self) -> None:
        """Let all routers tell each other what accounts got."""
        for _ in range(3):
            for router in self.routers:
                router.ledger.step()

    def request(
        self, account: str = "north", number: int = 0, objective: float = 0.4, **head: object
    ) -> RoutedRequest:
        now = self.clock.now()
        fields = {"attempt_id": f"{account}-{number}", "deadline": now + 5.0}
        return RoutedRequest(
            head=RequestHead(**fields | head),  # type: ignore[arg-type]
            route=route(service="engine", objective=objective),
            service="engine",
            account=AccountTerms(name=account),
            method="POST",
            path="/p/",
            body=b"",
            presence=CallerPresence(),
            arrived_at=now,
            deadline=now + 5.0,
        )


class TestPlaces(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = Fleet(1)

    def take(self, router: int, **options: object):  # noqa: ANN201
        request = self.fleet.request(**options)  # type: ignore[arg-type]
        return self.fleet.routers[router].gate.take(request, frozenset())

    def test_the_fleet_shares_the_slots_whoever_asks(self) -> None:
        taken = [self.take(0, number=n) for n in range(SLOTS)]
        self.assertTrue(all(place.is_ok() for place in taken))
        self.assertTrue(self.take(1).is_err())
        taken[0].unwrap().release()
        gevent.sleep(0.01)
        self.assertTrue(self.take(2).is_ok())
        self.assertTrue(self.take(1).is_err())

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

    def test_without_its_keeper_a_router_takes_its_part_only(self) -> None:
        fleet = self.fleet
        keeper = self.keeper_name("e0")
        asking = next(n for n in range(3) if f"r{n}" != keeper)
        fleet.network.cut({keeper}, {f"r{n}" for n in range(3)} - {keeper})
        given = [self.take(asking, number=n).is_ok() for n in range(SLOTS)]
        self.assertEqual([True, True, False, False], given)

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
        waiting = gevent.spawn(self.fleet.routers[1].gate.take, request, frozenset())
        gevent.sleep(0.01)
        request.presence.leave()
        places[0].release()
        self.assertTrue(waiting.get().is_err())
        gevent.sleep(0.01)
        self.assertTrue(self.take(2).is_ok())

    def test_an_account_that_waits_too_often_is_refused_at_once(self) -> None:
        places = [self.take(0, number=n).unwrap() for n in range(SLOTS)]
        # Long waits, so that none ends by itself however busy the machine is.
        waiting = [
            gevent.spawn(self.take, 1, number=n, objective=100.0) for n in range(MOST_WAITING)
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
        self.fleet.rate = 200.0
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
        return self.fleet.routers[0].client.keeper_of(target)


class TestReading(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = Fleet(2)
        self.keeper = self.fleet.routers[0].keeper
        self.member = self.fleet.members[1]

    def ask(self, ticket: int, prompt: int, *, patience: int = 200, part: str = "") -> bool:
        parts = [(part, 20_000)] if part else []
        request = PlaceRequest(
            target="e0",
            slots=9,
            ticket=ticket,
            level=0,
            prompt=prompt,
            parts=parts,
            patience=patience,
        )
        return self.keeper.ask(self.member, request).granted

    def test_prompts_ahead_take_no_more_than_the_patience(self) -> None:
        self.assertTrue(self.ask(1, 15_000))
        self.assertFalse(self.ask(2, 15_000))
        self.assertTrue(self.ask(3, 3_000))
        self.keeper.note_read(self.member, PromptsRead(tickets=[1]))
        self.assertTrue(self.ask(4, 15_000))

    def test_a_prompt_longer_than_the_patience_goes_alone(self) -> None:
        self.assertTrue(self.ask(1, 50_000))

    def test_what_the_engine_keeps_is_not_read(self) -> None:
        self.assertTrue(self.ask(1, 21_000, part="p"))
        self.keeper.note_read(self.member, PromptsRead(tickets=[1]))
        self.assertTrue(self.ask(2, 10_000))
        self.assertTrue(self.ask(3, 21_000, part="p"))
        self.assertFalse(self.ask(4, 21_000, part="q"))

    def test_equal_prompts_go_to_one_engine(self) -> None:
        parts = (PromptPart("shared", 100), PromptPart("own", 10))
        chosen = {
            router.gate.take(self.fleet.request(number=n, prompt=parts), frozenset())
            .unwrap()
            .target.id
            for n, router in enumerate(self.fleet.routers)
        }
        self.assertEqual(1, len(chosen))


class TestOtherEngines(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = Fleet(9)
        self.asked: list[str] = []
        client = self.fleet.routers[0].client
        ask = client.ask

        def counting(
            request: RoutedRequest, target: AnnouncedTarget, **options: object
        ):  # noqa: ANN202
            self.asked.append(target.id)
            return ask(request, target, **options)  # type: ignore[arg-type]

        client.ask = counting  # type: ignore[method-assign]
        for router in self.fleet.routers:
            for target in self.fleet.targets:
                router.keeper.restate(
                    self.fleet.members[1], PlacesHeld(held={target.id: list(range(SLOTS))})
                )

    def tried(self, own: int) -> int:
        parts = (PromptPart("shared", 1000), PromptPart("own", own))
        request = self.fleet.request(prompt=parts, prompt_tokens=1000 + own)
        self.assertTrue(self.fleet.routers[0].gate.take(request, frozenset()).is_err())
        tried, self.asked = len(set(self.asked)), []
        return tried

    def test_a_prompt_that_others_share_is_tried_at_few_engines(self) -> None:
        self.assertEqual(1 + MOST_OTHERS, self.tried(1000))

    def test_a_prompt_that_is_mostly_its_own_is_tried_at_more(self) -> None:
        self.assertEqual(1 + MOST_OTHERS_OWN, self.tried(2000))


if __name__ == "__main__":
    unittest.main()
