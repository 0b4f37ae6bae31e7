"""Claim of an idempotency key by a request, from claim to outcome."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err, Ok, Result

from loomyard.errors import ResultCode
from loomyard_router.claims.claim_coordinator import RecordedOutcome
from loomyard_router.claims.keys import claim_key_of

if TYPE_CHECKING:
    from loomyard.errors import Fault
    from loomyard_router.claims.claim_coordinator import Claim, ClaimCoordinator
    from loomyard_router.requests.request import Request


class ClaimedRun:
    """Take a claim through its states; for a request without a claim every step does nothing."""

    def __init__(self, keeper: ClaimCoordinator, claim: Claim | None = None) -> None:
        self._keeper = keeper
        self._claim = claim
        self._begun = False
        self._lost = False

    @property
    def lost(self) -> bool:
        """Whether another request with the key was first."""
        return self._lost

    def begin(self, deadline: float) -> Result[None, Fault]:
        """Record, once, that the request is about to be sent."""
        if self._claim is None or self._begun:
            return Ok(None)
        begun = self._keeper.begin(self._claim, deadline)
        self._begun = begun.is_ok()
        self._lost = begun.is_err() and begun.unwrap_err().code is ResultCode.KEY_IN_PROGRESS
        return begun

    def finish(self, outcome: RecordedOutcome | None) -> None:
        """Record the outcome, once; ``None`` where it is unknown."""
        claim, self._claim = self._claim, None
        if claim is not None:
            self._keeper.finish(claim, outcome)

    def abandon(self) -> None:
        """Release the claim, as nothing ran."""
        claim, self._claim = self._claim, None
        if claim is not None:
            self._keeper.abandon(claim)


def claim_run(
    keeper: ClaimCoordinator, request: Request
) -> Result[ClaimedRun | RecordedOutcome, Fault]:
    """Claim the key of a request that may run only once; other requests need no claim."""
    key = claim_key_of(request)
    if key is None:
        return Ok(ClaimedRun(keeper))
    claimed = keeper.claim(key, request.deadline)
    if claimed.is_err():
        return Err(claimed.unwrap_err())
    granted = claimed.unwrap()
    if isinstance(granted, RecordedOutcome):
        return Ok(granted)
    return Ok(ClaimedRun(keeper, granted))
