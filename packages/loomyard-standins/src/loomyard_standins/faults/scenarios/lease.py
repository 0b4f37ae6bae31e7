"""Slots on their way between routers while two accounts are backlogged."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loomyard_standins.faults.injection import OTHER, VICTIM
from loomyard_standins.faults.step import Step

if TYPE_CHECKING:
    from loomyard_standins.faults.fake_fleet import FakeFleet
    from loomyard_standins.faults.scenarios.trigger import Trigger

BACKLOG = 10
AFTER_SECONDS = 4.0


def run_lease(fleet: FakeFleet, step: Step, trigger: Trigger) -> None:
    """Fill two routers with work and let the fault come at a step of a slot lease."""
    for target in fleet.engines:
        target.hold()
    points = fleet.routers[VICTIM].points
    match step:
        case Step.LEASE_ASKED:
            points.arm("peer.send ShareReport", trigger)
        case Step.LEASE_DECIDED:
            for router in fleet.routers.values():
                router.points.arm("peer.send ShareReply", trigger)
        case Step.LEASE_GRANTED:
            points.arm("peer.receive ShareReply", trigger)
    for number in range(BACKLOG):
        fleet.call_model(f"kiosk/lease-{number}", VICTIM)
        fleet.call_model(f"genealogy/lease-{number}", OTHER)
    fleet.run(0.5)
    if step is Step.LEASE_HELD:
        trigger()
        fleet.run(AFTER_SECONDS)
    for target in fleet.engines:
        target.release()
    if step is Step.LEASE_RETURNED:
        points.arm("peer.send ShareReport", trigger)
    fleet.run(AFTER_SECONDS)
