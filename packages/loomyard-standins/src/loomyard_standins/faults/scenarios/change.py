"""Scenario of a configuration change while requests run."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loomyard_standins.faults.injection import OTHER, VICTIM
from loomyard_standins.faults.step import Step

if TYPE_CHECKING:
    from loomyard_standins.faults.fake_fleet import FakeFleet
    from loomyard_standins.faults.scenarios.trigger import Trigger

AFTER_SECONDS = 3.5


def run_change(fleet: FakeFleet, step: Step, trigger: Trigger) -> None:
    """Publish a change and inject the fault at a step."""
    fleet.publisher.publish_generation()
    fleet.run(0.2)
    fleet.callers.watch_models()
    match step:
        case Step.CHANGE_PROPOSED:
            trigger.fire(VICTIM)
        case Step.CHANGE_APPENDED:
            trigger.arm(fleet, "log.answered loomyard.configuration", VICTIM)
    fleet.publisher.publish_generation()
    fleet.run_loop_passes()
    if step is Step.CHANGE_IN_FORCE:
        trigger.fire(VICTIM)
    for router in (VICTIM, OTHER):
        fleet.callers.call_model(f"kiosk/change-{router}", router)
        fleet.callers.call_plain(f"labels/change-{router}", router)
    fleet.run(AFTER_SECONDS)
    fleet.callers.watch_models()
