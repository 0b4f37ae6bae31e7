"""Tests of the lease on orders: never two holders, whatever is lost, late or paused."""

from __future__ import annotations

import random
import unittest

from result import Err

from loomyard.codec import encode
from loomyard.errors import Executed, Fault, ResultCode
from loomyard_router.members.membership import Member
from loomyard_router.orders.lease_record import ORDERS_STREAM, OrderLease
from loomyard_router.orders.order_lease_manager import (
    DRIFT,
    TAKEOVER_AFTER,
    TERM,
    OrderLeaseManager,
)
from loomyard_standins.fake_clock import FakeClock
from loomyard_standins.log_service import MemoryLog


class DriftingClock:
    """A clock that runs a little fast or slow."""

    def __init__(self, clock: FakeClock, rate: float) -> None:
        self._clock = clock
        self._rate = rate

    def now(self) -> float:
        return 1000.0 + self._clock.now() * self._rate

    def wall(self) -> float:
        return self._clock.wall()

    def sleep(self, seconds: float) -> None:
        self._clock.sleep(seconds / self._rate)


class SlowLog(MemoryLog):
    """A log whose callers are paused before and after it took an append."""

    def __init__(self) -> None:
        super().__init__()
        self.on_append = lambda: None

    def append(self, stream: str, payload: bytes):
        self.on_append()
        answer = super().append(stream, payload)
        self.on_append()
        return answer


class OrderLeaseTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock()
        self.log = SlowLog()

    def keeper(self, name: str, *, rate: float = 1.0) -> OrderLeaseManager:
        own = Member(name=name, incarnation=1, address="", data_centre="")
        return OrderLeaseManager(DriftingClock(self.clock, rate), self.log, own)

    def run_for(self, seconds: float, *keepers: OrderLeaseManager) -> None:
        for _ in range(int(seconds)):
            self.clock.advance(1.0)
            for keeper in keepers:
                keeper.step(candidate=True)

    def test_one_takes_it_and_keeps_it(self) -> None:
        a, b = self.keeper("a"), self.keeper("b")
        self.run_for(TAKEOVER_AFTER - 1, a, b)
        self.assertIsNone(a.held())
        self.run_for(60, a, b)
        self.assertEqual([a.held() is None, b.held() is None], [False, True])
        self.assertLess(self.log.appends, 25)

    def test_a_successor_has_a_greater_number(self) -> None:
        a, b = self.keeper("a"), self.keeper("b")
        self.run_for(20, a, b)
        fencing = a.held().fencing
        self.run_for(TAKEOVER_AFTER + 1, b)
        self.assertIsNone(a.held())
        self.assertGreater(b.held().fencing, fencing)
        self.run_for(5, a, b)
        self.assertEqual((a.held(), a.holder), (None, "b"))

    def test_a_restart_is_another_holder(self) -> None:
        a = self.keeper("a")
        self.run_for(20, a)
        own = Member(name="a", incarnation=2, address="", data_centre="")
        again = OrderLeaseManager(DriftingClock(self.clock, 1.0), self.log, own)
        self.run_for(5, again)
        self.assertIsNone(again.held())

    def test_a_lost_answer(self) -> None:
        a = self.keeper("a")
        self.log.lose_answers = 1
        self.run_for(TAKEOVER_AFTER + 2, a)
        self.assertIsNotNone(a.held())
        self.assertEqual(a.held().fencing, 0)

    def test_an_append_that_arrives_late(self) -> None:
        late: list[bytes] = []

        def keep(stream: str, payload: bytes):
            late.append(payload)
            return Err(Fault(code=ResultCode.LOG_ANSWER_LOST, detail="", executed=Executed.UNKNOWN))

        a = self.keeper("a")
        append, self.log.append = self.log.append, keep
        self.run_for(TAKEOVER_AFTER + TERM + 5, a)
        append(ORDERS_STREAM, late[0])
        self.run_for(1, a)
        self.assertEqual((a.holder, a.held()), ("a", None))

    def test_log_down(self) -> None:
        a = self.keeper("a")
        self.run_for(20, a)
        self.log.down = True
        self.run_for(TERM, a)
        self.assertIsNone(a.held())
        self.log.down = False
        self.run_for(2, a)
        self.assertIsNotNone(a.held())

    def test_trimmed_and_unreadable_records(self) -> None:
        a, b = self.keeper("a"), self.keeper("b")
        self.run_for(20, a)
        self.log.append(ORDERS_STREAM, b"\xff")
        self.run_for(10, a)
        self.assertIsNotNone(a.held())
        self.log.trim(ORDERS_STREAM, 2)
        self.run_for(30, a, b)
        self.assertEqual((a.held() is None, b.held() is None, b.holder), (False, True, "a"))

    def test_a_claim_without_knowledge_of_the_last_does_not_count(self) -> None:
        a, b = self.keeper("a"), self.keeper("b")
        self.run_for(20, a, b)
        late = OrderLease(holder="c", incarnation=1, after=-1)
        self.log.append(ORDERS_STREAM, encode(late))
        self.run_for(2, a, b)
        self.assertEqual((a.holder, b.holder), ("a", "a"))

    def test_never_two_holders(self) -> None:
        held = 0
        for seed in range(150):
            with self.subTest(seed=seed):
                held += self.draw(random.Random(seed))
        self.assertGreater(held, 1000)

    def draw(self, rng: random.Random) -> int:
        self.clock, self.log = FakeClock(), SlowLog()
        rates = [1.0, 1 + DRIFT / 2, 1 - DRIFT / 2]
        keepers = [self.keeper(name, rate=rate) for name, rate in zip("abc", rates, strict=True)]
        paused = [0.0, 0.0, 0.0]
        held_times, highest = 0, -1

        busy: list[OrderLeaseManager] = []

        def step(keeper: OrderLeaseManager) -> None:
            if keeper not in busy:
                busy.append(keeper)
                keeper.step(candidate=True)
                busy.remove(keeper)

        def pause() -> None:
            for _ in range(rng.choice([0, 0, 0, 1, 8])):
                self.clock.advance(rng.choice([0.5, 4.0]))
                step(rng.choice(keepers))

        self.log.on_append = pause
        for _ in range(150):
            self.clock.advance(rng.choice([0.1, 1.0, 1.0, 3.0]))
            self.log.down = rng.random() < 0.1
            if rng.random() < 0.1:
                self.log.lose_answers = 1
            turn = rng.randrange(3)
            if rng.random() < 0.05:
                paused[turn] = self.clock.now() + rng.choice([5.0, 20.0])
            if paused[turn] <= self.clock.now():
                step(keepers[turn])
            leases = [lease for keeper in keepers if (lease := keeper.held()) is not None]
            self.assertLessEqual(len(leases), 1)
            for lease in leases:
                self.assertGreaterEqual(lease.fencing, highest)
                highest = lease.fencing
                held_times += 1
        return held_times


if __name__ == "__main__":
    unittest.main()
