"""The fault matrix: every fault at every step."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

from loomyard_standins.faults.checkers import Violation, check
from loomyard_standins.faults.fake_fleet import FakeFleet
from loomyard_standins.faults.fault_kind import FaultKind
from loomyard_standins.faults.injection import inject
from loomyard_standins.faults.scenarios.change import run_change
from loomyard_standins.faults.scenarios.request import request_kinds, run_request
from loomyard_standins.faults.scenarios.trigger import Trigger
from loomyard_standins.faults.step import Operation, Step
from loomyard_standins.faults.unreachable import Unreachable, why_unreachable

if TYPE_CHECKING:
    from collections.abc import Callable


SETTLING_SECONDS = 3.5
LAST_SECONDS = 1.5


@frozen
class Cell:
    """A fault at a step."""

    fault: FaultKind
    step: Step

    @property
    def unreachable(self) -> Unreachable | None:
        return why_unreachable(self.fault, self.step)


@frozen
class CellRun:
    """One run of a cell; ``fired`` tells whether the fault really came."""

    label: str
    fired: bool
    violations: list[Violation]


CELLS = [Cell(fault, step) for fault in FaultKind for step in Step]


def run_cell(cell: Cell) -> list[CellRun]:
    """Run a cell in as many ways as its operation has."""
    if cell.step.operation is Operation.REQUEST:
        return [
            _run(cell, kind.value, lambda f, t, kind=kind: run_request(f, cell.step, kind, t))
            for kind in request_kinds(cell.step)
        ]
    return [_run(cell, "change", lambda f, t: run_change(f, cell.step, t))]


def finish(fleet: FakeFleet) -> list[Violation]:
    """Mend every fault, let the fleet settle, probe it and check every invariant."""
    fleet.heal()
    fleet.publish_generation()
    fleet.run(SETTLING_SECONDS)
    fleet.probe()
    fleet.run(LAST_SECONDS)
    fleet.watch_models(final=True)
    return check(fleet.sightings)


def _run(cell: Cell, label: str, scenario: Callable[[FakeFleet, Trigger], None]) -> CellRun:
    fleet = FakeFleet()
    try:
        trigger = Trigger(lambda: inject(cell.fault, fleet))
        scenario(fleet, trigger)
        return CellRun(label, trigger.fired, finish(fleet))
    finally:
        fleet.close()
