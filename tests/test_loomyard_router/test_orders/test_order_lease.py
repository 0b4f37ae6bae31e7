"""Tests of the order lease: at most one holder despite lost answers, delays and pauses."""

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
    """A clock that runs at ``rate`` times the speed of another."""

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
    """A log whose callers can be paused before and after an append."""

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

    def manager(self, name: str, *, rate: float = 1.0) -> OrderLeaseManager:
        own = Member(name=name, incarnation=1, address="", data_centre="")
        return OrderLeaseManager(DriftingClock(self.clock, rate), self.log, own)

    def run_for(self, seconds: float, *managers: OrderLeaseManager) -> None:
        for _ in range(int(seconds)):
            self.clock.advance(1.0)
            for manager in managers:
                manager.step(candidate=True)

    def test_one_router_acquires_and_renews_the_lease(self) -> None:
        a, b = self.manager("a"), self.manager("b")
        self.run_for(TAKEOVER_AFTER - 1, a, b)
        self.assertIsNone(a.held())
        self.run_for(60, a, b)
        self.assertEqual([a.held() is None, b.held() is None], [False, True])
        self.assertLess(self.log.appends, 25)

    def test_successor_has_a_higher_fencing_number(self) -> None:
        a, b = self.manager("a"), self.manager("b")
        self.run_for(20, a, b)
        fencing = a.held().fencing
        self.run_for(TAKEOVER_AFTER + 1, b)
        self.assertIsNone(a.held())
        self.assertGreater(b.held().fencing, fencing)
        self.run_for(5, a, b)
        self.assertEqual((a.held(), a.holder), (None, "b"))

    def test_restarted_router_does_not_hold_its_earlier_lease(self) -> None:
        a = self.manager("a")
        self.run_for(20, a)
        own = Member(name="a", incarnation=2, address="", data_centre="")
        restarted = OrderLeaseManager(DriftingClock(self.clock, 1.0), self.log, own)
        self.run_for(5, restarted)
        self.assertIsNone(restarted.held())

    def test_append_with_a_lost_answer_acquires_the_lease(self) -> None:
        a = self.manager("a")
        self.log.lose_answers = 1
        self.run_for(TAKEOVER_AFTER + 2, a)
        self.assertIsNotNone(a.held())
        self.assertEqual(a.held().fencing, 0)

    def test_append_that_arrives_after_its_term_gives_no_lease(self) -> None:
        late: list[bytes] = []

        def hold_back(stream: str, payload: bytes):
            late.append(payload)
            return Err(Fault(code=ResultCode.LOG_ANSWER_LOST, detail="", executed=Executed.UNKNOWN))

        a = self.manager("a")
        append, self.log.append = self.log.append, hold_back
        self.run_for(TAKEOVER_AFTER + TERM + 5, a)
        append(ORDERS_STREAM, late[0])
        self.run_for(1, a)
        self.assertEqual((a.holder, a.held()), ("a", None))

    def test_lease_expires_while_the_log_is_down_and_returns_after(self) -> None:
        a = self.manager("a")
        self.run_for(20, a)
        self.log.down = True
        self.run_for(TERM, a)
        self.assertIsNone(a.held())
        self.log.down = False
        self.run_for(2, a)
        self.assertIsNotNone(a.held())

    def test_trimmed_and_unreadable_records_keep_the_holder(self) -> None:
        a, b = self.manager("a"), self.manager("b")
        self.run_for(20, a)
        self.log.append(ORDERS_STREAM, b"\xff")
        self.run_for(10, a)
        self.assertIsNotNone(a.held())
        self.log.trim(ORDERS_STREAM, 2)
        self.run_for(30, a, b)
        self.assertEqual((a.held() is None, b.held() is None, b.holder), (False, True, "a"))

    def test_claim_by_a_writer_that_missed_a_record_is_ignored(self) -> None:
        a, b = self.manager("a"), self.manager("b")
        self.run_for(20, a, b)
        late = OrderLease(holder="c", incarnation=1, after=-1)
        self.log.append(ORDERS_STREAM, encode(late))
        self.run_for(2, a, b)
        self.assertEqual((a.holder, b.holder), ("a", "a"))

    def test_at_most_one_holder_under_random_faults(self) -> None:
        held = 0
        for seed in range(150):
            with self.subTest(seed=seed):
                held += self.run_random_faults(random.Random(seed))
        self.assertGreater(held, 1000)

    def run_random_faults(self, rng: random.Random) -> int:
        """Run three candidates under random faults; return how often a lease was held."""
        self.clock, self.log = FakeClock(), SlowLog()
        rates = [1.0, 1 + DRIFT / 2, 1 - DRIFT / 2]
        managers = [self.manager(name, rate=rate) for name, rate in zip("abc", rates, strict=True)]
        paused_until = [0.0, 0.0, 0.0]
        held_times, highest = 0, -1

        busy: list[OrderLeaseManager] = []

        def step(manager: OrderLeaseManager) -> None:
            if manager not in busy:
                busy.append(manager)
                manager.step(candidate=True)
                busy.remove(manager)

        def pause() -> None:
            for _ in range(rng.choice([0, 0, 0, 1, 8])):
                self.clock.advance(rng.choice([0.5, 4.0]))
                step(rng.choice(managers))

        self.log.on_append = pause
        for _ in range(150):
            self.clock.advance(rng.choice([0.1, 1.0, 1.0, 3.0]))
            self.log.down = rng.random() < 0.1
            if rng.random() < 0.1:
                self.log.lose_answers = 1
            turn = rng.randrange(3)
            if rng.random() < 0.05:
                paused_until[turn] = self.clock.now() + rng.choice([5.0, 20.0])
            if paused_until[turn] <= self.clock.now():
                step(managers[turn])
            leases = [lease for manager in managers if (lease := manager.held()) is not None]
            self.assertLessEqual(len(leases), 1)
            for lease in leases:
                self.assertGreaterEqual(lease.fencing, highest)
                highest = lease.fencing
                held_times += 1
        return held_times


if __name__ == "__main__":
    unittest.main()
