"""Rate limit on model loads in place of a weight store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err, Ok, Result

from loomyard.errors import Fault, ResultCode

if TYPE_CHECKING:
    from loomyard.clock import Clock

# Seconds between two loads.
LOAD_INTERVAL = 10.0


class FixedRateWeightStore:
    """Allow one load per ``LOAD_INTERVAL``, for fleets without a weight store."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._next_load_at = clock.now()

    def reserve(self, model: str) -> Result[float, Fault]:
        now = self._clock.now()
        if now < self._next_load_at:
            detail = f"load rate limit reached, {model!r} must wait"
            left = self._next_load_at - now
            return Err(Fault(code=ResultCode.WEIGHT_STORE_LIMITED, detail=detail, retry_after=left))
        self._next_load_at = now + LOAD_INTERVAL
        return Ok(now)
