"""A weight store with a rate limit."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err, Ok, Result

from loomyard.errors import Fault, ResultCode

if TYPE_CHECKING:
    from loomyard.clock import Clock


class LimitedWeightStore:
    """Allow one load in an interval of some seconds."""

    def __init__(self, clock: Clock, *, interval: float) -> None:
        self._clock = clock
        self._interval = interval
        self._next = clock.now()

    def reserve(self, model: str) -> Result[float, Fault]:
        now = self._clock.now()
        if now < self._next:
            return Err(
                Fault(
                    code=ResultCode.WEIGHT_STORE_LIMITED,
                    detail=f"no load of {model!r} yet",
                    retry_after=self._next - now,
                )
            )
        self._next = now + self._interval
        return Ok(now)
