"""How long a request may wait for a place, and when one that found none should come back."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from attrs import frozen

from loomyard.errors import Fault

if TYPE_CHECKING:

    from loomyard.errors import ResultCode
    from loomyard_router.routed.routed_request import RoutedRequest

# Part of the objective: who is refused by then can still be served in time elsewhere. At a quarter
# the refusal reached its caller after it. On the heaviest days of three deployments 13,367 of
# 24,022 requests were answered in time in place of 13,255, and 1,782 late in place of 1,899 (one
# run each, counted at the callers): nothing for one deployment, 6 % more in time for another.
WAIT_PART = 0.18
# Within its share a request finds a place sooner or later, and a second try is late: of 173 that
# were refused on a heavy day 150 came in the first seconds of the fleet or after all routers were
# killed, while prompts had to be read whole. Waiting up to 0.5 answered 2 % more in time and raised
# the worth of the worst tenth of accounts by 0.02 to 0.05 (two days of 7,000 requests each, one run
# each with and without, counted at the callers).
WAIT_PART_WITHIN_SHARE = 0.5
DEFAULT_WAIT = 0.1
# When to come back: after the burst of a second or so that filled the places, spread out.
RETRY_LEAST = 0.5
RETRY_MOST = 1.2


def wait_until(request: RoutedRequest, *, within_share: bool = False) -> float:
    """Return when a request that found no place is refused."""
    objective = request.route.objective
    part = WAIT_PART_WITHIN_SHARE if within_share else WAIT_PART
    wait = DEFAULT_WAIT if objective is None else part * objective
    return min(request.arrived_at + wait, request.deadline)


@frozen
class RetryHint:
    """Refusals that say when to come back."""

    source: random.Random

    def make_refusal(self, code: ResultCode, detail: str) -> Fault:
        """Make the fault of a request that did not run."""
        seconds = self.source.uniform(RETRY_LEAST, RETRY_MOST)
        return Fault(code=code, detail=detail, retry_after=seconds)
