"""Rate limit on slots that a router returns for lower-level accounts elsewhere."""

from __future__ import annotations

from attrs import define

# Seconds per returned slot at an excess of one margin.
SECONDS_PER_SLOT = 0.05
# At most this many seconds since the last call accrue slots to return.
MAX_ELAPSED = 1.0


@define
class _Accrual:
    updated_at: float
    slots: float = 0.0


class SlotReturnLimiter:
    """Return slots at a rate proportional to the excess, so that routers together don't overshoot.

    All routers see the same low-level account, and learn with delay that it was served.
    """

    def __init__(self) -> None:
        self._services: dict[bytes, _Accrual] = {}

    def should_return(self, service: bytes, excess: float, now: float) -> bool:
        """Return whether to return a slot; ``excess`` is the level above the margin, in margins."""
        if excess <= 0:
            self._services.pop(service, None)
            return False
        accrual = self._services.setdefault(service, _Accrual(now))
        elapsed = min(MAX_ELAPSED, now - accrual.updated_at)
        accrual.updated_at = now
        accrual.slots += excess * elapsed / SECONDS_PER_SLOT
        if accrual.slots < 1.0:
            return False
        accrual.slots = min(accrual.slots - 1.0, 1.0)
        return True
