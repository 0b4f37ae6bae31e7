"""Trigger that injects a fault once."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent

if TYPE_CHECKING:
    from collections.abc import Callable

    from loomyard_standins.faults.fake_fleet import FakeFleet


class Trigger:
    """Call the action with the name of the affected router, at most once."""

    def __init__(self, action: Callable[[str], None]) -> None:
        self.fired = False
        self._action = action

    def fire(self, victim: str) -> None:
        """Inject the fault, unless it was injected before."""
        if not self.fired:
            self.fired = True
            # In its own task, since the action may kill the one that reached the step.
            gevent.spawn(self._action, victim).join()

    def arm(self, fleet: FakeFleet, point: str, router: str, victim: str = "") -> None:
        """Inject the fault when a router reaches a point; it is also the default victim."""
        fleet.routers[router].points.arm(point, lambda: self.fire(victim or router))

    def arm_all(self, fleet: FakeFleet, point: str, victim: str = "") -> None:
        """Inject the fault when the first of all routers reaches a point."""
        for router in fleet.routers:
            self.arm(fleet, point, router, victim)
