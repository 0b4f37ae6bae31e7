"""A fault that comes once."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent

if TYPE_CHECKING:
    from collections.abc import Callable

    from loomyard_standins.faults.fake_fleet import FakeFleet


class Trigger:
    """Call an action with the router it strikes, at most once."""

    def __init__(self, action: Callable[[str], None]) -> None:
        self.fired = False
        self._action = action

    def fire(self, victim: str) -> None:
        """Let the fault come, if it did not come yet."""
        if not self.fired:
            self.fired = True
            # In a task of its own, since the action may end the one that reached the step.
            gevent.spawn(self._action, victim).join()

    def arm(self, fleet: FakeFleet, point: str, router: str, victim: str = "") -> None:
        """Let the fault come when a router reaches a point; the router itself is the victim."""
        fleet.routers[router].points.arm(point, lambda: self.fire(victim or router))

    def arm_all(self, fleet: FakeFleet, point: str, victim: str = "") -> None:
        """Let the fault come when the first of all routers reaches a point."""
        for router in fleet.routers:
            self.arm(fleet, point, router, victim)
