"""Order in which a slot owner serves the pending requests of an engine."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from attrs import frozen

from loomyard_router.admission.target_slots import RefusalReason

if TYPE_CHECKING:
    from loomyard_router.admission.target_slots import PendingRequest, TargetSlots

# An account with this many times the usage of another one leaves the next prefill to it. Users
# bound the usage of the better served of two backlogged accounts by twice that of the other; the
# margin below that bound covers requests that are on their way.
USAGE_RATIO = 1.4


class ServingOrder(Protocol):
    """Choose which pending request gets the next slot."""

    def choose(self, slots: TargetSlots, now: float) -> PendingRequest | None:
        """Return a pending request that may have a slot, ``None`` to let all wait."""


class FirstThatFits:
    """Serve the account with the least usage among the requests that may have a slot now.

    Engines never idle for a reserved prefill, but small prompts of one account may take all prefill
    time before a larger prompt of another account fits.
    """

    def choose(self, slots: TargetSlots, now: float) -> PendingRequest | None:
        return next((one for one in slots.by_usage() if slots.admits(one, now)), None)


@frozen
class ReserveForLeastServed:
    """Reserve the next prefill for the account with less usage, of two that are over their shares.

    This keeps the users' bound on the usage of two backlogged accounts; without it small prompts
    of one account took all prefill time, and the other got a sixth of its usage. While the prefill
    is reserved the engine idles until the larger prompt fits, which costs 1 % of all answers.
    """

    ratio: float = USAGE_RATIO

    def choose(self, slots: TargetSlots, now: float) -> PendingRequest | None:
        reserved_for: PendingRequest | None = None
        for pending in slots.by_usage():
            refusal = slots.find_refusal(pending, now)
            if refusal is None:
                over_share = reserved_for is not None and pending.request.over_share
                if over_share and self._has_more_usage(pending, reserved_for):
                    return None
                return pending
            if (
                refusal is RefusalReason.PREFILL
                and pending.request.over_share
                and reserved_for is None
            ):
                reserved_for = pending
        return None

    def _has_more_usage(self, pending: PendingRequest, other: PendingRequest | None) -> bool:
        return other is not None and pending.request.usage > self.ratio * other.request.usage
