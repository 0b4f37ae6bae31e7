"""How fast a router gives slots back to needier accounts elsewhere."""

from __future__ import annotations

from attrs import define

# Seconds between two slots given back where the level is one margin beyond the margin.
SECONDS_PER_SLOT = 0.05
# What was seen longer ago than this counts no more.
MOST_ELAPSED = 1.0


@define
class _Pressure:
    seen_at: float
    slots: float = 0.0


class GiveBackPace:
    """Give slots back in proportion to the excess, so that routers together do not overshoot.

    All routers see the same needy account, and see late that it was served.
    """

    def __init__(self) -> None:
        self._services: dict[bytes, _Pressure] = {}

    def is_due(self, service: bytes, excess: float, now: float) -> bool:
        """Tell whether to give back a slot; ``excess`` over the margin is in margins."""
        if excess <= 0:
            self._services.pop(service, None)
            return False
        pressure = self._services.setdefault(service, _Pressure(now))
        elapsed = min(MOST_ELAPSED, now - pressure.seen_at)
        pressure.seen_at = now
        pressure.slots += excess * elapsed / SECONDS_PER_SLOT
        if pressure.slots < 1.0:
            return False
        pressure.slots = min(pressure.slots - 1.0, 1.0)
        return True
