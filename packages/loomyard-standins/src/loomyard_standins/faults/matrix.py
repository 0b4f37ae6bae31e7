"""The fault matrix: a scenario run for each kind of fault at each step."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from attrs import frozen

from loomyard_standins.faults.checkers import Violation, check
from loomyard_standins.faults.fake_fleet import FakeFleet
from loomyard_standins.faults.fault_kind import FaultKind
from loomyard_standins.faults.injection import inject
from loomyard_standins.faults.scenarios.change import run_change
from loomyard_standins.faults.scenarios.lease import LeaseVictim, run_lease
from loomyard_standins.faults.scenarios.order import checks_fencing, run_order
from loomyard_standins.faults.scenarios.request import RequestKind, request_kinds, run_request
from loomyard_standins.faults.scenarios.stop import run_stop
from loomyard_standins.faults.scenarios.trigger import Trigger
from loomyard_standins.faults.step import Operation, Step
from loomyard_standins.faults.unreachable import Unreachable, why_unreachable

Scenario = Callable[[FakeFleet, Trigger], None]

SETTLING_SECONDS = 3.2  # longer than IN_FORCE_SECONDS
PROBE_SECONDS = 8.0


# At these steps the variants differ only in the router that the fault affects.
_BY_VICTIM = frozenset(
    [
        Step.REQUEST_CLAIMED,
        *(step for step in Step if step.operation is Operation.LEASE),
    ]
)


@frozen
class Cell:
    """A kind of fault at a step of an operation."""

    fault: FaultKind
    step: Step

    @property
    def unreachable(self) -> Unreachable | None:
        return why_unreachable(self.fault, self.step)

    @property
    def variants(self) -> list[tuple[str, Scenario]]:
        """Return the scenarios of the cell, each with its label."""
        variants = _variants(self.step)
        if self.step in _BY_VICTIM and not self.fault.affects_router:
            return variants[:1]
        return variants


@frozen
class CellRun:
    """The result of one scenario of a cell; ``fired`` is false if the fault was not injected."""

    label: str
    fired: bool
    violations: list[Violation]


CELLS = [Cell(fault, step) for fault in FaultKind for step in Step]


def run_cell(cell: Cell) -> list[CellRun]:
    """Run every scenario of a cell, each in a new fleet."""
    return [_run(cell, label, scenario) for label, scenario in cell.variants]


def _variants(step: Step) -> list[tuple[str, Scenario]]:
    match step.operation:
        case Operation.REQUEST:
            return [(k.value, partial(_request, step, k)) for k in request_kinds(step)]
        case Operation.LEASE:
            return [(v.value, partial(_lease, step, v)) for v in LeaseVictim]
        case Operation.CHANGE:
            return [("", lambda fleet, trigger: run_change(fleet, step, trigger))]
        case Operation.ORDER:
            return [("", lambda fleet, trigger: run_order(fleet, step, trigger))]
        case Operation.STOP:
            return [("", lambda fleet, trigger: run_stop(fleet, step, trigger))]


def _request(step: Step, kind: RequestKind, fleet: FakeFleet, trigger: Trigger) -> None:
    run_request(fleet, step, kind, trigger)


def _lease(step: Step, role: LeaseVictim, fleet: FakeFleet, trigger: Trigger) -> None:
    run_lease(fleet, step, role, trigger)


def finish(fleet: FakeFleet) -> list[Violation]:
    """Heal every fault, let the fleet settle, send probes and check every invariant."""
    fleet.heal()
    fleet.publisher.publish_generation()
    # Ejection grows with the outage: a target is retried after about as long as it was down.
    fleet.run(SETTLING_SECONDS + fleet.longest_outage)
    fleet.callers.probe()
    fleet.run_until(lambda: fleet.callers.probes_ended, PROBE_SECONDS)
    fleet.callers.watch_models(final=True)
    return check(fleet.observations)


def _run(cell: Cell, label: str, scenario: Scenario) -> CellRun:
    fleet = FakeFleet(checks_fencing=checks_fencing(cell.step))
    try:
        trigger = Trigger(lambda victim: inject(cell.fault, fleet, victim))
        scenario(fleet, trigger)
        return CellRun(label, trigger.fired, finish(fleet))
    finally:
        fleet.close()
