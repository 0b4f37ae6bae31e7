"""Scenario of load orders for a requested service that no engine has loaded."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loomyard_standins.faults.fleet_objects import LOADABLE
from loomyard_standins.faults.step import Step

if TYPE_CHECKING:
    from loomyard_standins.faults.fake_fleet import FakeFleet
    from loomyard_standins.faults.scenarios.trigger import Trigger

ROUNDS = 12
RECOVERY_ROUNDS = 12
ROUND_SECONDS = 0.6
DECIDED_ROUND = 3


def checks_fencing(step: Step) -> bool:
    """Return whether the engines check fencing numbers in the scenario of a step.

    A process may be paused between its last check of the order lease and the send; only an engine
    that checks fencing can refuse an order sent then.
    """
    return step is Step.ORDER_SENT


def run_order(fleet: FakeFleet, step: Step, trigger: Trigger) -> None:
    """Request a service that an engine has to load, and inject the fault at a step."""
    fleet.shorten_times()
    match step:
        case Step.ORDER_LEASED:
            trigger.arm_all(fleet, "log.appended loomyard.orders")
        case Step.ORDER_SENT:
            trigger.arm_all(fleet, "engine.order")
        case Step.ORDER_TAKEN:
            trigger.arm_all(fleet, "engine.ordered")
    for number in range(ROUNDS):
        if step is Step.ORDER_DECIDED and number == DECIDED_ROUND:
            trigger.arm(fleet, "engine.load", _find_controller(fleet))
        _call(fleet, f"order-{number}")
    fleet.heal()
    for number in range(RECOVERY_ROUNDS):
        _call(fleet, f"recovery-{number}")
    if any(engine.leaving for engine in fleet.engines):
        # The other engine is the last one with its service loaded and must not unload it.
        return
    for name, router in fleet.routers.items():
        if not router.points.dead:
            fleet.callers.call_model(f"kiosk/loaded-{name}", name, model=LOADABLE).probe = True


def _call(fleet: FakeFleet, name: str) -> None:
    for router in fleet.routers:
        fleet.callers.call_model(f"kiosk/{name}-{router}", router, model=LOADABLE)
    fleet.run(ROUND_SECONDS)


def _find_controller(fleet: FakeFleet) -> str:
    point = "log.appended loomyard.orders"
    return max(fleet.routers, key=lambda name: fleet.routers[name].points.reached[point])
