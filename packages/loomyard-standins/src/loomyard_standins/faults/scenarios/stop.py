"""Scenario of a planned stop while requests run and wait."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loomyard_standins.faults.injection import OTHER, VICTIM
from loomyard_standins.faults.step import Step

if TYPE_CHECKING:
    from loomyard_standins.faults.fake_fleet import FakeFleet
    from loomyard_standins.faults.scenarios.trigger import Trigger

REQUESTS = 4
KEY = "3f0c6b0e-6f2e-4c8e-9d55-2a4f7d1c9a10"


def run_stop(fleet: FakeFleet, step: Step, trigger: Trigger) -> None:
    """Begin the planned stop of a router and inject the fault at a step."""
    for target in fleet.targets.values():
        target.hold()
    for number in range(REQUESTS):
        fleet.callers.call_model(f"kiosk/stop-{number}", VICTIM)
        fleet.callers.call_plain(f"genealogy/stop-{number}", VICTIM)
    fleet.callers.call_plain("labels/stop", VICTIM, key=KEY)
    fleet.run(0.5)
    if step is Step.STOP_BEGUN:
        trigger.fire(VICTIM)
    fleet.drain(VICTIM)
    fleet.callers.call_model("kiosk/late", VICTIM)
    fleet.run(0.3)
    if step is Step.STOP_DRAINING:
        trigger.fire(VICTIM)
    fleet.run(0.3)
    for target in fleet.targets.values():
        target.release()
    if step is Step.STOP_ENDING:
        fleet.run_loop_passes(2)
        trigger.fire(VICTIM)
    fleet.callers.call_plain("labels/stop", OTHER, key=KEY)
    fleet.run(1.5)
