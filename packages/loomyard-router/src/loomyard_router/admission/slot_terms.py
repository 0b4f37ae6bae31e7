"""The terms on which a request competes for the slots of engines."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

from loomyard_router.admission.fallbacks import find_max_fallbacks
from loomyard_router.admission.waiting_time import find_wait_deadline

if TYPE_CHECKING:
    from loomyard_router.admission.account_backlog import AccountBacklog
    from loomyard_router.admission.share_ledger import ShareLedger
    from loomyard_router.routed.routed_request import RoutedRequest

# The first token is due after this fraction of the objective, so that it reaches the caller in
# time.
FIRST_TOKEN_FRACTION = 0.75
DEFAULT_OBJECTIVE = 0.4
# Callers wait for the next event of a stream for this time at least.
PATIENCE_SECONDS = 2.0
# Fraction of it for which a stream that goes on may wait for a slot.
PATIENCE_WAIT_FRACTION = 0.5
FULL_SHARE = 1.0


@frozen(kw_only=True)
class SlotTerms:
    """Until when a request waits, when its first token is due, and how many engines it asks.

    ``share_used`` is the usage of the account as a multiple of its share, as slot owners heed it.
    """

    wait_until: float
    first_token_by: float
    fallbacks: int
    may_wait: bool
    share_used: float | None


def make_slot_terms(
    request: RoutedRequest, ledger: ShareLedger, backlog: AccountBacklog
) -> SlotTerms:
    """Return the terms of a request that wants a slot now."""
    if request.origin is not None:
        return _make_terms_to_go_on(request, ledger, backlog)
    account = request.account_name
    over_share = ledger.is_over_share(account)
    objective = request.route.objective or DEFAULT_OBJECTIVE
    return SlotTerms(
        wait_until=find_wait_deadline(request, within_share=not over_share),
        first_token_by=request.arrived_at + FIRST_TOKEN_FRACTION * objective,
        fallbacks=find_max_fallbacks(
            request, over_share=over_share, lagging=backlog.is_router_lagging
        ),
        # An account far over its share does not wait: it would wait at all routers and take each
        # slot that becomes free, before accounts with less usage whose callers use one router.
        may_wait=not ledger.is_far_over_share(account),
        share_used=ledger.share_used(account),
    )


def _make_terms_to_go_on(
    request: RoutedRequest, ledger: ShareLedger, backlog: AccountBacklog
) -> SlotTerms:
    """Return the terms of a stream that goes on.

    Few engines may have its version, its caller waits for the next event rather than for the
    first, and what was generated is lost with it. So it waits longer, and an account over its share
    may use all slots for it. Its usage and the cap on the usage of accounts count as always.
    """
    since = request.slot_wanted_at
    share_used = ledger.share_used(request.account_name)
    return SlotTerms(
        wait_until=min(since + PATIENCE_WAIT_FRACTION * PATIENCE_SECONDS, request.deadline),
        first_token_by=since + FIRST_TOKEN_FRACTION * PATIENCE_SECONDS,
        fallbacks=find_max_fallbacks(request, over_share=False, lagging=backlog.is_router_lagging),
        may_wait=True,
        share_used=None if share_used is None else min(share_used, FULL_SHARE),
    )
