"""How long a request may wait for a place, and when one that found none should come back."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from attrs import frozen

from loomyard.errors import Fault

if TYPE_CHECKING:

    from loomyard.errors import ResultCode
    from loomyard_router.routed.routed_request import RoutedRequest

# Parts of the objective. What is beyond the share of its account is refused while its caller can
# still be served in time elsewhere. Within the share a request finds a place sooner or later, and
# a second try is late: waiting up to 0.5 in place of 0.25 answered 2 % more in time, most of them
# in the first seconds of a fleet and after all routers were killed, and raised the worth of the
# worst tenth of accounts by 0.02 to 0.05 (two days of 7,000 requests each, counted at the callers).
WAIT_PART_BEYOND = 0.25
WAIT_PART_WITHIN = 0.5
DEFAULT_WAIT = 0.1
# When to come back: after the burst of a second or so that filled the places, spread out.
RETRY_LEAST = 0.5
RETRY_MOST = 1.2


def wait_until(request: RoutedRequest, *, beyond: bool) -> float:
    """Return when a request is refused that found no place; ``beyond`` its account's share."""
    objective = request.route.objective
    part = WAIT_PART_BEYOND if beyond else WAIT_PART_WITHIN
    wait = DEFAULT_WAIT if objective is None else part * objective
    return min(request.arrived_at + wait, request.deadline)


@frozen
class RetryHint:
    """Refusals that say when to come back."""

    source: random.Random

    def refuse(self, code: ResultCode, detail: str) -> Fault:
        """Make the fault of a request that did not run."""
        seconds = self.source.uniform(RETRY_LEAST, RETRY_MOST)
        return Fault(code=code, detail=detail, retry_after=seconds)
