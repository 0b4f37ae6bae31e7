"""Reports of begun claims whose outcome no router can record any more."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Protocol

from loomyard.events import Event, emit
from loomyard_router.claims.key_state import Phase
from loomyard_router.members.membership import MemberState

if TYPE_CHECKING:
    from collections.abc import Iterable

    from loomyard_router.claims.key_state import KeyState
    from loomyard_router.members.membership import Membership

logger = logging.getLogger(__name__)

# Seconds by which the wall clocks of routers and callers may differ.
MAX_CLOCK_SKEW = 30.0


class BegunClaim(Protocol):
    """The fields of a claim that tell whether its owner may still record an outcome."""

    @property
    def phase(self) -> Phase: ...
    @property
    def owner(self) -> str: ...
    @property
    def incarnation(self) -> int: ...
    @property
    def answer_by(self) -> float: ...


def is_outcome_unknown(claim: BegunClaim, members: Membership, wall: float) -> bool:
    """Return whether a claim has no outcome and no owner that could still record one.

    A wrong result only misinforms callers and operators: no router takes over a begun claim.
    """
    if claim.phase is not Phase.BEGUN:
        return claim.phase is Phase.UNKNOWN
    if wall > claim.answer_by + MAX_CLOCK_SKEW:
        return True
    owner = members.find(claim.owner)
    if owner is None:
        return False
    return owner.state is MemberState.DEAD or owner.incarnation != claim.incarnation


class UnknownOutcomeReporter:
    """Logs an event once for each claim of unknown outcome."""

    def __init__(self, members: Membership) -> None:
        self._members = members
        self._reported: set[bytes] = set()

    def report(self, claims: Iterable[tuple[bytes, KeyState]], wall: float) -> list[KeyState]:
        """Log the claims that are newly of unknown outcome; return all of unknown outcome."""
        unknown = [
            (k, state) for k, state in claims if is_outcome_unknown(state, self._members, wall)
        ]
        for key, state in unknown:
            if state.claim_id not in self._reported:
                emit(
                    logger,
                    Event.CLAIM_OUTCOME_UNKNOWN,
                    claim=state.claim_id.hex(),
                    key=key.hex(),
                    owner=state.owner,
                    answer_by=state.answer_by,
                )
        self._reported = {state.claim_id for _, state in unknown}
        return [state for _, state in unknown]
