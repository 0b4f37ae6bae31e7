"""Tests that first tokens come in time from targets of different speed.

Load: 20 routers, engines that read 10, 10 and 40 prompts a second, prompts without shared parts, at
0.4 and 0.7 of the capacity of all engines; one engine is slow for 600 ms; a slot owner dies.
"""

from __future__ import annotations

import heapq
import random
import unittest
from unittest.mock import patch

import gevent
from attrs import define, field

from loomyard_router.admission import slot_client
from loomyard_router.admission.slot_client import SlotStatus
from loomyard_router.routed.request_head import PromptPart
from test_loomyard_router.test_admission.slots_case import Fleet, Router

ROUTERS = 20
PROMPTS_PER_SECOND = (10.0, 10.0, 40.0)
TOKENS = 2_000
OBJECTIVE = 0.5
SLOTS = 48
# How long an answer takes after its first token.
ANSWER_SECONDS = 0.3
# Estimates adapt to the engines in this time; only later requests are counted.
WARM_UP = 4.0
SECONDS = 12.0
IN_TIME = 0.95


@define
class FakeEngine:
    """Engine that reads prompts one after the other, but none between the two times ``slow``."""

    per_second: float
    slow: tuple[float, float] = (0.0, 0.0)
    free_at: float = 0.0

    def read(self, now: float) -> float:
        """Return when a prompt that is sent now has been read."""
        begin = max(now, self.free_at)
        end = begin + 1.0 / self.per_second
        if begin < self.slow[1] and end > self.slow[0]:
            end += self.slow[1] - max(begin, self.slow[0])
        self.free_at = end
        return end


@define(order=True)
class Due:
    """A coming event: the first token or the end of an answer."""

    at: float
    number: int
    router: Router = field(order=False)
    permit: int = field(order=False)
    is_first: bool = field(order=False)


class UnequalTargetsTest(unittest.TestCase):
    def setUp(self) -> None:
        patcher = patch.object(slot_client, "BATCH_SECONDS", 0.0)
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
        self.in_time = self.counted = self.sent = 0

    def play(self, load: float, *, dying: str = "", dies_at: float = SECONDS) -> float:
        """Return the fraction of requests after the warm-up whose first token came in time."""
        rate = load * sum(PROMPTS_PER_SECOND)
        clock = self.fleet.clock
        arrival = self.random.expovariate(rate)
        while arrival < SECONDS:
            self.answer_until(arrival)
            if dying and clock.now() >= dies_at:
                self.kill(dying)
                dying = ""
            self.send(arrival)
            arrival += self.random.expovariate(rate)
        self.answer_until(SECONDS + 5.0)
        return self.in_time / self.counted

    def answer_until(self, until: float) -> None:
        """Let engines answer until a point in time."""
        while self.due and self.due[0].at <= until:
            due = heapq.heappop(self.due)
            self.move_to(due.at)
            record = (
                due.router.client.record_first_token if due.is_first else due.router.client.release
            )
            record(due.permit)
            self.deliver()
        self.move_to(until)

    def send(self, now: float) -> None:
        router = self.random.choice(self.fleet.routers)
        self.sent += 1
        part = PromptPart(f"own-{self.sent}", TOKENS)
        request = self.fleet.request(
            number=self.sent, objective=OBJECTIVE, prompt=(part,), prompt_tokens=TOKENS
        )
        counts = now > WARM_UP
        self.counted += counts
        for target in router.gate._rank(request, frozenset()):
            outcome = router.client.request(
                request,
                target,
                wait=0.0,
                first_token_by=now + 0.75 * OBJECTIVE,
                usage=0.0,
                share_used=None,
            )
            if outcome.status is SlotStatus.GRANTED:
                first = self.engines[target.id].read(now)
                self.served[target.id] += counts
                self.in_time += counts and first <= now + OBJECTIVE
                self.push(first, router, outcome.permit, is_first=True)
                self.push(first + ANSWER_SECONDS, router, outcome.permit, is_first=False)
                return

    def push(self, at: float, router: Router, permit: int, *, is_first: bool) -> None:
        heapq.heappush(self.due, Due(at, len(self.due), router, permit, is_first))

    def kill(self, name: str) -> None:
        """Let a router die and update the membership of all others."""
        self.fleet.network.leave(name)
        live = [member for member in self.fleet.members if member.name != name]
        self.fleet.routers = [one for one in self.fleet.routers if one.members.own.name != name]
        for router in self.fleet.routers:
            router.members.change(live)
        self.deliver()

    def move_to(self, at: float) -> None:
        if at > self.fleet.clock.now():
            self.fleet.clock.advance(at - self.fleet.clock.now())

    def deliver(self) -> None:
        """Let batched messages arrive; the time to batch them is patched to 0."""
        for _ in range(2):
            gevent.sleep(0.0005)

    def assert_none_starved(self) -> None:
        """Check that each engine serves at least half of its part of the capacity."""
        total = sum(self.served.values())
        for target, engine in self.engines.items():
            part = engine.per_second / sum(PROMPTS_PER_SECOND)
            self.assertGreater(self.served[target], 0.5 * part * total, self.served)

    def test_below_half_of_the_capacity(self) -> None:
        self.assertGreaterEqual(self.play(0.4), IN_TIME)
        self.assert_none_starved()

    def test_above_half_of_the_capacity(self) -> None:
        self.assertGreaterEqual(self.play(0.7), IN_TIME)
        self.assert_none_starved()

    def test_while_the_fast_engine_is_slow_for_a_while(self) -> None:
        self.engines["e2"].slow = (8.0, 8.6)
        self.assertGreaterEqual(self.play(0.4), IN_TIME)

    def test_after_the_slot_owner_of_the_fast_engine_dies(self) -> None:
        incarnation = self.fleet.targets[2].incarnation
        owner = self.fleet.routers[0].client.owner_of(incarnation)
        self.assertGreaterEqual(self.play(0.7, dying=owner, dies_at=8.0), IN_TIME)
        self.assert_none_starved()


if __name__ == "__main__":
    unittest.main()
