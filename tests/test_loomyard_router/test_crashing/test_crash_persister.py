"""Tests that blocked requests stay blocked after a restart of all routers.

Otherwise each restart of the whole fleet costs three more targets per poison request, and all
requests running there.
"""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from attrs import define, field
from result import Err, Ok, Result

from loomyard.errors import Fault, ResultCode
from loomyard_router.announced.target_incarnation import TargetLife
from loomyard_router.crashes.crash_ledger import BLOCKING_COUNT, RETENTION_SECONDS, CrashLedger
from loomyard_router.crashes.crash_persister import ISOLATED_SECONDS, CrashPersister
from loomyard_router.members.membership import Member
from loomyard_standins.fake_clock import FakeClock
from test_loomyard_router.test_admission.slots_case import Members

if TYPE_CHECKING:
    from collections.abc import Mapping

POISON = "guilty"
NAMES = ("r0", "r1", "r2")


@define(eq=False)
class MemoryArchive:
    """An archive that counts calls; ``down`` fails each, ``late`` carries out failed writes."""

    values: dict[str, bytes] = field(factory=dict)
    calls: int = 0
    era: int = 0
    down: bool = False
    late: bool = False

    def read(self, deadline: float) -> Result[Mapping[str, bytes], Fault]:
        self.calls += 1
        return self._fault() if self.down else Ok(dict(self.values))

    def write(self, key: str, value: bytes | None, deadline: float) -> Result[None, Fault]:
        self.calls += 1
        if not self.down or self.late:
            self.values.pop(key, None)
            if value is not None:
                self.values[key] = value
        return self._fault() if self.down else Ok(None)

    def _fault(self) -> Err[Fault]:
        return Err(Fault(code=ResultCode.LOG_UNAVAILABLE, detail="down"))


class CrashPersisterTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock()
        self.archive = MemoryArchive()
        self.live = [Member(name=name, incarnation=1, address="", data_centre="") for name in NAMES]

    def make(self, name: str) -> tuple[CrashLedger, CrashPersister, Members]:
        own = next(member for member in self.live if member.name == name)
        ledger = CrashLedger(self.clock)
        members = Members(own, list(self.live))
        persister = CrashPersister(
            clock=self.clock, ledger=ledger, archive=self.archive, members=members
        )
        return ledger, persister, members

    def block(self, ledger: CrashLedger) -> None:
        for number in range(BLOCKING_COUNT):
            ledger.record_crash(POISON, number + 1, TargetLife(f"t{number}"))

    def steps(self, persister: CrashPersister, count: int = 4) -> None:
        for _ in range(count):
            persister.step()

    def block_at_all_routers(self) -> None:
        for name in NAMES:
            ledger, persister, _ = self.make(name)
            persister.step()
            self.block(ledger)
            self.steps(persister)

    def test_a_restarted_fleet_refuses_what_was_blocked_before(self) -> None:
        self.block_at_all_routers()
        for name in NAMES:
            ledger, persister, _ = self.make(name)
            persister.step()
            self.assertIsNotNone(ledger.blocked_until(POISON))

    def test_one_router_writes_once_for_all(self) -> None:
        self.block_at_all_routers()
        self.assertEqual(len(NAMES) + 1, self.archive.calls)

    def test_a_record_lost_in_a_rollback_is_written_again_once(self) -> None:
        made = [self.make(name) for name in NAMES]
        for ledger, persister, _ in made:
            persister.step()
            self.block(ledger)
            self.steps(persister)
        # The store is rolled back to a copy from before the write.
        self.archive.values.clear()
        self.archive.era += 1
        before = self.archive.calls
        for _, persister, _ in made:
            self.steps(persister)
        self.assertIn(POISON, self.archive.values)
        self.assertEqual(len(NAMES) + 1, self.archive.calls - before, "a read each, one write")

    def test_a_request_below_the_blocking_count_is_not_written(self) -> None:
        ledger, persister, _ = self.make("r0")
        ledger.record_crash(POISON, 1, TargetLife("t1"))
        self.steps(persister)
        self.assertEqual({}, self.archive.values)

    def test_a_failed_write_is_retried_by_another_router(self) -> None:
        made = [self.make(name) for name in NAMES]
        for ledger, persister, _ in made:
            persister.step()
            self.block(ledger)
        self.archive.down = True
        outcomes = [persister.step() for _, persister, _ in made]
        writer = outcomes.index(False)
        self.archive.down = False
        left = [member for number, member in enumerate(self.live) if number != writer]
        for number, (_, persister, members) in enumerate(made):
            if number != writer:
                members.change(left)
                self.steps(persister)
        self.assertIn(POISON, self.archive.values)

    def test_a_router_that_starts_in_a_store_outage_reads_later(self) -> None:
        self.block_at_all_routers()
        ledger, persister, _ = self.make("r1")
        self.archive.down = True
        self.assertFalse(persister.step())
        self.archive.down = False
        self.assertTrue(persister.step())
        self.assertIsNotNone(ledger.blocked_until(POISON))

    def test_an_isolated_router_reads_again(self) -> None:
        ledger, persister, members = self.make("r0")
        persister.step()
        self.block_at_all_routers()
        members.change(self.live[:1])
        self.clock.advance(ISOLATED_SECONDS)
        persister.step()
        self.assertIsNotNone(ledger.blocked_until(POISON))

    def test_cleared_and_expired_records_are_deleted(self) -> None:
        for how in ("cleared", "past"):
            with self.subTest(how=how):
                self.block_at_all_routers()
                self.assertIn(POISON, self.archive.values)
                if how == "past":
                    self.clock.advance(RETENTION_SECONDS + 1.0)
                for name in NAMES:
                    ledger, persister, _ = self.make(name)
                    persister.step()
                    if how == "cleared":
                        ledger.clear(POISON)
                    self.steps(persister)
                self.assertEqual({}, self.archive.values)

    def test_unreadable_values_are_ignored(self) -> None:
        for value in (b"", b"\xff", b"\x83\x01\x02\x03", b"{}", b"\x81" * 300):
            with self.subTest(value=value[:8]):
                self.archive.values = {POISON: value, "other": b"\x00"}
                ledger, persister, _ = self.make("r0")
                self.assertTrue(persister.step())
                self.assertTrue(ledger.empty)


if __name__ == "__main__":
    unittest.main()
