"""How long a request may wait for a slot, and when a refused one should be retried."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from attrs import frozen

from loomyard.errors import Fault

if TYPE_CHECKING:
    from loomyard.errors import ResultCode
    from loomyard_router.routed.routed_request import RoutedRequest

# Fractions of the route's objective. A request refused by then can still be answered in time by
# another router; after a quarter of the objective the refusal would reach the caller too late.
WAIT_FRACTION = 0.18
# A request of an account within its share gets a slot sooner or later, while a second attempt would
# be late, so it waits longer. It matters most while prefixes are not cached yet and prompts have to
# be read whole: in the first seconds of a fleet, or after all routers were killed.
WAIT_FRACTION_WITHIN_SHARE = 0.5
DEFAULT_WAIT = 0.1
# Seconds until a retry: after a burst that filled the slots, which lasts about a second, and spread
# out at random.
MIN_RETRY_SECONDS = 0.5
MAX_RETRY_SECONDS = 1.2


def find_wait_deadline(request: RoutedRequest, *, within_share: bool = False) -> float:
    """Return the time at which a request that got no slot is refused."""
    objective = request.route.objective
    fraction = WAIT_FRACTION_WITHIN_SHARE if within_share else WAIT_FRACTION
    wait = DEFAULT_WAIT if objective is None else fraction * objective
    return min(request.arrived_at + wait, request.deadline)


@frozen
class RetryHint:
    """Make refusals with a random time until the retry."""

    rng: random.Random

    def make_refusal(self, code: ResultCode, detail: str) -> Fault:
        """Return the fault of a request that did not run, with ``retry_after`` in seconds."""
        seconds = self.rng.uniform(MIN_RETRY_SECONDS, MAX_RETRY_SECONDS)
        return Fault(code=code, detail=detail, retry_after=seconds)
