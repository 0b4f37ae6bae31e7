"""How long a request may wait for a place, and when one that found none should come back."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from attrs import frozen

from loomyard.errors import Fault

if TYPE_CHECKING:

    from loomyard.errors import ResultCode
    from loomyard_router.routed.routed_request import RoutedRequest

# A caller that is refused within a quarter of its objective can still be served in time elsewhere.
WAIT_PART = 0.25
DEFAULT_WAIT = 0.1
# When to come back: after the burst of a second or so that filled the places, spread out.
RETRY_LEAST = 0.5
RETRY_MOST = 1.2


def wait_until(request: RoutedRequest) -> float:
    """Return the time at which a request that found no place is refused."""
    objective = request.route.objective
    wait = DEFAULT_WAIT if objective is None else WAIT_PART * objective
    return min(request.arrived_at + wait, request.deadline)


@frozen
class RetryHint:
    """Refusals that say when to come back."""

    source: random.Random

    def refuse(self, code: ResultCode, detail: str) -> Fault:
        """Make the fault of a request that did not run."""
        seconds = self.source.uniform(RETRY_LEAST, RETRY_MOST)
        return Fault(code=code, detail=detail, retry_after=seconds)
