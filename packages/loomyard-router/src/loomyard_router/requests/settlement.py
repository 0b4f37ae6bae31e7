"""Settlement of an attempt: its cost is charged and its slot freed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loomyard.objects import ServiceType
from loomyard_router.requests.costs import time_cost, token_cost

if TYPE_CHECKING:
    from loomyard.clock import Clock
    from loomyard_router.relays.usage import Usage
    from loomyard_router.requests.estimates import CostEstimates
    from loomyard_router.requests.request import Request
    from loomyard_router.shares.admission import Admission
    from loomyard_router.shares.policy import SharePolicy

BYTES_PER_TOKEN = 4


class Settlement:
    """Finish an admission exactly once, and charge what ran."""

    def __init__(
        self,
        *,
        clock: Clock,
        policy: SharePolicy,
        estimates: CostEstimates,
        request: Request,
        admission: Admission,
    ) -> None:
        self._clock = clock
        self._policy = policy
        self._estimates = estimates
        self._request = request
        self._admission = admission
        self._sent_at = admission.admitted_at
        self._open = True

    def record_sent(self) -> None:
        """Start counting target time; the time that the slot was held before is not charged."""
        self._sent_at = self._clock.now()

    def charge(self, events: int) -> None:
        """Raise the charge of a running stream to the events relayed so far."""
        if self._open:
            cost = token_cost(self._request.service, prompt=0, completion=events)
            self._policy.charge(self._admission, max(self._admission.charged, cost))

    def settle(self, usage: Usage | None, events: int = 0) -> None:
        """Settle at the tokens that the target counted, or else at an estimate of them."""
        if not self._open:
            return
        cost = self._cost(usage, events)
        self._estimates.record(self._request.account, self._request.service, cost)
        self._finish(cost)

    def settle_uncertain(self) -> None:
        """Settle at the charge so far, as it is unknown what ran."""
        if self._open:
            self._finish(self._admission.charged)

    def settle_unused(self) -> None:
        """Settle at zero, as nothing ran."""
        if self._open:
            self._finish(0.0)

    def _finish(self, cost: float) -> None:
        self._open = False
        self._policy.finish(self._admission, cost)

    def _cost(self, usage: Usage | None, events: int) -> float:
        service = self._request.service
        if service.type is not ServiceType.MODEL:
            return time_cost(service, self._clock.now() - self._sent_at)
        if usage is not None:
            return token_cost(service, prompt=usage.prompt, completion=usage.completion)
        prompt = len(self._request.body) // BYTES_PER_TOKEN
        return token_cost(service, prompt=prompt, completion=events)
