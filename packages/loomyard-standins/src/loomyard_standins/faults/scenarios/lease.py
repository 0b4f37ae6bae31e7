"""Scenario of a slot lease between routers while two accounts are backlogged."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from loomyard_standins.faults.step import Step

if TYPE_CHECKING:
    from loomyard_standins.faults.fake_fleet import FakeFleet
    from loomyard_standins.faults.scenarios.trigger import Trigger

BACKLOG = 8
HELD_SECONDS = 3.2  # longer than a lease
AFTER_SECONDS = 2.0


class LeaseVictim(Enum):
    """The role of the router that the fault affects."""

    HOLDER = "affects the holder"
    ALLOCATOR = "affects the allocator"


def run_lease(fleet: FakeFleet, step: Step, role: LeaseVictim, trigger: Trigger) -> None:
    """Build up a backlog at two routers and inject the fault at a step of a slot lease."""
    holder, allocator = _find_roles(fleet)
    victim = holder if role is LeaseVictim.HOLDER else allocator
    for target in fleet.engines:
        target.hold()
    match step:
        case Step.LEASE_ASKED:
            trigger.arm(fleet, "peer.send ShareReport", holder, victim)
        case Step.LEASE_DECIDED:
            trigger.arm(fleet, "peer.send ShareReply", allocator, victim)
        case Step.LEASE_GRANTED:
            trigger.arm(fleet, "peer.receive ShareReply", holder, victim)
    for number in range(BACKLOG):
        fleet.callers.call_model(f"kiosk/lease-{number}", holder)
        fleet.callers.call_model(f"genealogy/lease-{number}", allocator)
    fleet.run(0.5)
    if step is Step.LEASE_HELD:
        trigger.fire(victim)
        fleet.run(HELD_SECONDS)
    if step is Step.LEASE_RETURNED:
        trigger.arm(fleet, "peer.send ShareReport", holder, victim)
    for target in fleet.engines:
        target.release()
    fleet.run(AFTER_SECONDS)


def _find_roles(fleet: FakeFleet) -> tuple[str, str]:
    """Return a router that requests slots, and the one that allocates them."""
    for name in fleet.routers:
        fleet.callers.call_model("labels/" + name, name)
    fleet.run(0.5)
    replies = {n: r.points.reached["peer.send ShareReply"] for n, r in fleet.routers.items()}
    allocator = max(replies, key=lambda name: replies[name])
    return next(name for name in fleet.routers if name != allocator), allocator
