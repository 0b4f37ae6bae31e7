"""The deadlines of a planned stop."""

from __future__ import annotations

import math

from attrs import define, field

from loomyard.clock import Clock
from loomyard.errors import Fault, ResultCode
from loomyard_router.routed.run_times import RunTimes

# The load balancer removes a router after two failed readiness checks, which are one second apart.
UNLISTING_SECONDS = 2.5
# Seconds of the grace that are left for the last answers and the exit of the process.
GRACE_MARGIN_SECONDS = 0.7
STOPPING = Fault(code=ResultCode.STOPPING, detail="this router is stopping", retry_after=0.05)


@define(eq=False)
class PlannedStop:
    """When new requests are refused and when running ones are ended; never, until a stop begins.

    A router that lags or stood still is late with its timers, so each decision compares the clock.
    """

    clock: Clock
    run_times: RunTimes = field(factory=RunTimes)
    refuse_from: float = math.inf
    end_at: float = math.inf

    def begin(self, called_at: float, grace: float) -> None:
        """Begin a stop; the process is killed ``grace`` seconds after ``called_at``."""
        self.refuse_from = called_at + UNLISTING_SECONDS
        self.end_at = called_at + grace - GRACE_MARGIN_SECONDS

    @property
    def is_under_way(self) -> bool:
        return self.refuse_from < math.inf

    @property
    def is_refusing(self) -> bool:
        """Tell whether requests that arrive now are refused."""
        return self.clock.now() >= min(self.refuse_from, self.end_at)

    def may_send(self, route: str, read_at: float) -> bool:
        """Tell whether a request that was read at ``read_at`` is likely to end if it is sent now.

        Where that is not known, it is sent until new requests are refused.
        """
        if not self.is_under_way:
            return True
        if read_at >= self.refuse_from:
            return False
        likely = self.run_times.find_likely(route)
        if likely is None:
            return not self.is_refusing
        return self.clock.now() + likely <= self.end_at
