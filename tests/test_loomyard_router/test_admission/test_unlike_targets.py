"""Whether first events come in time at targets of unlike speed.

Load: engines that read 10, 10 and 40 prompts a second, prompts that share nothing, 20 routers, at
0.4 and 0.7 of what the engines read together; one is slow for 600 ms; a keeper dies.
"""

from __future__ import annotations

import heapq
import random
import unittest
from unittest.mock import patch

import gevent
from attrs import define, field

from loomyard_router.admission import place_client
from loomyard_router.admission.place_client import Verdict
from loomyard_router.routed.request_head import PromptPart
from test_loomyard_router.test_admission.slots_case import Fleet, Router

ROUTERS = 20
PROMPTS_PER_SECOND = (10.0, 10.0, 40.0)
TOKENS = 2_000
OBJECTIVE = 0.5
SLOTS = 48
# How long a request goes on after its first event.
ANSWER_SECONDS = 0.3
# Engines are found out in this time; what comes later counts.
WARM_UP = 4.0
SECONDS = 12.0
IN_TIME = 0.95


@define
class FakeEngine:
    """Read prompts one after the other; ``slow`` is from when to when it reads nothing."""

    per_second: float
    slow: tuple[float, float] = (0.0, 0.0)
    free_at: float = 0.0

    def read(self, now: float) -> float:
        """Return when a prompt that is sent now is read."""
        begin = max(now, self.free_at)
        end = begin + 1.0 / self.per_second
        if begin < self.slow[1] and end > self.slow[0]:
            end += self.slow[1] - max(begin, self.slow[0])
        self.free_at = end
        return end


@define(order=True)
class Due:
    """What happens at a time: a first event or the end of an answer."""

    at: float
    number: int
    router: Router = field(order=False)
    ticket: int = field(order=False)
    is_first: bool = field(order=False)


class UnlikeTargetsTest(unittest.TestCase):
    def setUp(self) -> None:
        patcher = patch.object(place_client, "GATHER_SECONDS", 0.0)
        patcher.start()
        self.addCleanup(patcher.stop)
        self.fleet = Fleet(len(PROMPTS_PER_SECOND), ROUTERS, SLOTS)
        self.engines = {
            target.id: FakeEngine(speed)
            for target, speed in zip(self.fleet.targets, PROMPTS_PER_SECOND, strict=True)
        }
        self.random = random.Random(11)
        self.due: list[Due] = []
        self.served = dict.fromkeys(self.engines, 0)
        self.in_time = self.asked = self.numbers = 0

    def play(self, load: float, *, dying: str = "", dies_at: float = SECONDS) -> float:
        """Return the part of what came after the warm-up that began in time."""
        rate = load * sum(PROMPTS_PER_SECOND)
        clock = self.fleet.clock
        arrival = self.random.expovariate(rate)
        while arrival < SECONDS:
            self.settle(arrival)
            if dying and clock.now() >= dies_at:
                self.kill(dying)
                dying = ""
            self.send(arrival)
            arrival += self.random.expovariate(rate)
        self.settle(SECONDS + 5.0)
        return self.in_time / self.asked

    def settle(self, until: float) -> None:
        """Let engines answer until a time."""
        while self.due and self.due[0].at <= until:
            due = heapq.heappop(self.due)
            self.move_to(due.at)
            act = due.router.client.note_read if due.is_first else due.router.client.release
            act(due.ticket)
            self.turn()
        self.move_to(until)

    def send(self, now: float) -> None:
        router = self.random.choice(self.fleet.routers)
        self.numbers += 1
        part = PromptPart(f"own-{self.numbers}", TOKENS)
        request = self.fleet.request(
            number=self.numbers, objective=OBJECTIVE, prompt=(part,), prompt_tokens=TOKENS
        )
        counts = now > WARM_UP
        self.asked += counts
        for target in router.gate._rank(request, frozenset()):
            outcome = router.client.ask(
                request,
                target,
                wait=0.0,
                first_event_by=now + 0.75 * OBJECTIVE,
                level=0.0,
                used=None,
            )
            if outcome.verdict is Verdict.GRANTED:
                first = self.engines[target.id].read(now)
                self.served[target.id] += counts
                self.in_time += counts and first <= now + OBJECTIVE
                self.push(first, router, outcome.ticket, is_first=True)
                self.push(first + ANSWER_SECONDS, router, outcome.ticket, is_first=False)
                return

    def push(self, at: float, router: Router, ticket: int, *, is_first: bool) -> None:
        heapq.heappush(self.due, Due(at, len(self.due), router, ticket, is_first))

    def kill(self, name: str) -> None:
        """Let a router die, and all others hear of it."""
        self.fleet.network.leave(name)
        live = [member for member in self.fleet.members if member.name != name]
        self.fleet.routers = [one for one in self.fleet.routers if one.members.own.name != name]
        for router in self.fleet.routers:
            router.members.change(live)
        self.turn()

    def move_to(self, at: float) -> None:
        if at > self.fleet.clock.now():
            self.fleet.clock.advance(at - self.fleet.clock.now())

    def turn(self) -> None:
        """Let notices arrive, which are gathered by a timer of no length."""
        for _ in range(2):
            gevent.sleep(0.0005)

    def assert_none_starved(self) -> None:
        """Each serves at least half of its part of what all can read."""
        total = sum(self.served.values())
        for target, engine in self.engines.items():
            part = engine.per_second / sum(PROMPTS_PER_SECOND)
            self.assertGreater(self.served[target], 0.5 * part * total, self.served)

    def test_at_less_than_half_of_what_they_read(self) -> None:
        self.assertGreaterEqual(self.play(0.4), IN_TIME)
        self.assert_none_starved()

    def test_at_more_than_half_of_what_they_read(self) -> None:
        self.assertGreaterEqual(self.play(0.7), IN_TIME)
        self.assert_none_starved()

    def test_while_the_fast_one_is_slow_for_a_spell(self) -> None:
        self.engines["e2"].slow = (8.0, 8.6)
        self.assertGreaterEqual(self.play(0.4), IN_TIME)

    def test_after_the_keeper_of_the_fast_one_dies(self) -> None:
        life = self.fleet.targets[2].incarnation
        keeper = self.fleet.routers[0].client.owner_of(life)
        self.assertGreaterEqual(self.play(0.7, dying=keeper, dies_at=8.0), IN_TIME)
        self.assert_none_starved()


if __name__ == "__main__":
    unittest.main()
