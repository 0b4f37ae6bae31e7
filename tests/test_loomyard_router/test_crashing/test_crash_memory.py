"""Tests that routers which all start anew still know which requests end targets.

Without it each start of the whole fleet costs three more targets for each such request, and all
that runs there.
"""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from attrs import define, field
from result import Err, Ok, Result

from loomyard.errors import Fault, ResultCode
from loomyard_router.announced.target_incarnation import TargetIncarnation
from loomyard_router.crashes.crash_ledger import BLOCKING_LEVEL, FORGET_SECONDS, CrashLedger
from loomyard_router.crashes.crash_persister import ALONE_SECONDS, CrashPersister
from loomyard_router.members.membership import Member
from loomyard_standins.fake_clock import FakeClock
from test_loomyard_router.test_admission.slots_case import Members

if TYPE_CHECKING:
    from collections.abc import Mapping

GUILTY = "guilty"
NAMES = ("r0", "r1", "r2")


@define(eq=False)
class MemoryArchive:
    """An archive that counts calls; ``down`` fails each, ``late`` does it all the same."""

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


class CrashMemoryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock()
        self.archive = MemoryArchive()
        self.live = [Member(name=name, incarnation=1, address="", data_centre="") for name in NAMES]

    def make(self, name: str) -> tuple[CrashLedger, CrashPersister, Members]:
        own = next(member for member in self.live if member.name == name)
        ledger = CrashLedger(self.clock)
        members = Members(own, list(self.live))
        memory = CrashPersister(
            clock=self.clock, ledger=ledger, archive=self.archive, members=members
        )
        return ledger, memory, members

    def block(self, ledger: CrashLedger) -> None:
        for number in range(BLOCKING_LEVEL):
            ledger.note_end(GUILTY, number + 1, TargetIncarnation(f"t{number}"))

    def steps(self, memory: CrashPersister, count: int = 4) -> None:
        for _ in range(count):
            memory.step()

    def block_everywhere(self) -> None:
        for name in NAMES:
            ledger, memory, _ = self.make(name)
            memory.step()
            self.block(ledger)
            self.steps(memory)

    def test_a_fleet_that_starts_anew_refuses_what_the_one_before_refused(self) -> None:
        self.block_everywhere()
        for name in NAMES:
            ledger, memory, _ = self.make(name)
            memory.step()
            self.assertIsNotNone(ledger.blocked_until(GUILTY))

    def test_one_router_writes_for_all_and_once(self) -> None:
        self.block_everywhere()
        self.assertEqual(len(NAMES) + 1, self.archive.calls)

    def test_what_a_later_era_lacks_is_written_again_by_one_router_once(self) -> None:
        made = [self.make(name) for name in NAMES]
        for ledger, memory, _ in made:
            memory.step()
            self.block(ledger)
            self.steps(memory)
        # The store comes back from a copy of before the write.
        self.archive.values.clear()
        self.archive.era += 1
        before = self.archive.calls
        for _, memory, _ in made:
            self.steps(memory)
        self.assertIn(GUILTY, self.archive.values)
        self.assertEqual(len(NAMES) + 1, self.archive.calls - before, "a read each, one write")

    def test_what_only_may_end_targets_is_not_written(self) -> None:
        ledger, memory, _ = self.make("r0")
        ledger.note_end(GUILTY, 1, TargetIncarnation("t1"))
        self.steps(memory)
        self.assertEqual({}, self.archive.values)

    def test_a_write_that_failed_is_made_again_also_by_another_router(self) -> None:
        made = [self.make(name) for name in NAMES]
        for ledger, memory, _ in made:
            memory.step()
            self.block(ledger)
        self.archive.down = True
        outcomes = [memory.step() for _, memory, _ in made]
        writer = outcomes.index(False)
        self.archive.down = False
        left = [member for number, member in enumerate(self.live) if number != writer]
        for number, (_, memory, members) in enumerate(made):
            if number != writer:
                members.change(left)
                self.steps(memory)
        self.assertIn(GUILTY, self.archive.values)

    def test_a_router_that_starts_while_the_store_is_away_reads_it_later(self) -> None:
        self.block_everywhere()
        ledger, memory, _ = self.make("r1")
        self.archive.down = True
        self.assertFalse(memory.step())
        self.archive.down = False
        self.assertTrue(memory.step())
        self.assertIsNotNone(ledger.blocked_until(GUILTY))

    def test_a_router_that_sees_no_other_any_more_reads_again(self) -> None:
        ledger, memory, members = self.make("r0")
        memory.step()
        self.block_everywhere()
        members.change(self.live[:1])
        self.clock.advance(ALONE_SECONDS)
        memory.step()
        self.assertIsNotNone(ledger.blocked_until(GUILTY))

    def test_what_ran_to_its_end_or_is_past_its_end_is_dropped(self) -> None:
        for how in ("cleared", "past"):
            with self.subTest(how=how):
                self.block_everywhere()
                self.assertIn(GUILTY, self.archive.values)
                if how == "past":
                    self.clock.advance(FORGET_SECONDS + 1.0)
                for name in NAMES:
                    ledger, memory, _ = self.make(name)
                    memory.step()
                    if how == "cleared":
                        ledger.clear(GUILTY)
                    self.steps(memory)
                self.assertEqual({}, self.archive.values)

    def test_what_another_writer_left_there_is_passed_over(self) -> None:
        for value in (b"", b"\xff", b"\x83\x01\x02\x03", b"{}", b"\x81" * 300):
            with self.subTest(value=value[:8]):
                self.archive.values = {GUILTY: value, "other": b"\x00"}
                ledger, memory, _ = self.make("r0")
                self.assertTrue(memory.step())
                self.assertTrue(ledger.empty)


if __name__ == "__main__":
    unittest.main()
