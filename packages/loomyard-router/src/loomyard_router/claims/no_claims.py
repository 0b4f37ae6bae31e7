"""Claims where there is no log service to order them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err, Result

from loomyard.errors import Fault, ResultCode

if TYPE_CHECKING:
    from loomyard_router.claims.keeper import Claim, ClaimKey, RecordedOutcome


class NoClaims:
    """Refuse every claim."""

    @property
    def ready(self) -> bool:
        return False

    def claim(self, key: ClaimKey, deadline: float) -> Result[Claim | RecordedOutcome, Fault]:
        return Err(_unavailable())

    def begin(self, claim: Claim, deadline: float) -> Result[None, Fault]:
        return Err(_unavailable())

    def finish(self, claim: Claim, outcome: RecordedOutcome | None) -> None:
        pass

    def abandon(self, claim: Claim) -> None:
        pass

    def start(self) -> None:
        pass

    def stop(self) -> None:
        pass


def _unavailable() -> Fault:
    return Fault(code=ResultCode.CLAIM_UNAVAILABLE, detail="claims are not available")
