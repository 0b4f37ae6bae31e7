"""Report claims that were begun and whose outcome nobody can record any more."""

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

# How far the wall clocks of routers and callers may lie apart.
CLOCK_MARGIN = 30.0


class BegunClaim(Protocol):
    """What tells who has begun a claim."""

    @property
    def phase(self) -> Phase: ...
    @property
    def owner(self) -> str: ...
    @property
    def incarnation(self) -> int: ...
    @property
    def answer_by(self) -> float: ...


def is_unknown(claim: BegunClaim, members: Membership, wall: float) -> bool:
    """Tell whether a claim has no outcome and nobody is known who could still record one.

    Only what callers and operators are told hangs on this: a begun claim is never taken over.
    """
    if claim.phase is not Phase.BEGUN:
        return claim.phase is Phase.UNKNOWN
    if wall > claim.answer_by + CLOCK_MARGIN:
        return True
    owner = members.find(claim.owner)
    if owner is None:
        return False
    return owner.state is MemberState.DEAD or owner.incarnation != claim.incarnation


class UnknownWatch:
    """Emit an event once for each claim whose outcome is unknown."""

    def __init__(self, members: Membership) -> None:
        self._members = members
        self._reported: set[bytes] = set()

    def sweep(self, claims: Iterable[tuple[bytes, KeyState]], wall: float) -> list[KeyState]:
        """Report new ones; return all."""
        unknown = [(k, state) for k, state in claims if is_unknown(state, self._members, wall)]
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
