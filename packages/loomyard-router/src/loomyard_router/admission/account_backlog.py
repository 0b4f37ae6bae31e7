"""Count the requests of each client account that wait for a slot at this router."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from loomyard_router.admission.backlog_limit import (
    MAX_WAITING,
    MAX_WAITING_LAGGING,
    MAX_WAITING_LAGGING_WITHIN,
    AlwaysLowLimit,
    BacklogLimit,
)

if TYPE_CHECKING:
    from loomyard_router.admission.share_ledger import ShareLedger


class AccountBacklog:
    """Waiting requests by account; a full account gets further requests refused at once."""

    def __init__(self, ledger: ShareLedger, limit: BacklogLimit | None = None) -> None:
        self._ledger = ledger
        self._limit = limit or AlwaysLowLimit()
        self._waiting: Counter[str] = Counter()
        self._near_limit: set[str] = set()

    @property
    def any_near_limit(self) -> bool:
        """Tell whether an account has enough waiting requests that it may be full."""
        return bool(self._near_limit)

    @property
    def is_router_lagging(self) -> bool:
        """Tell whether the event loop of this router lags."""
        return self._limit.lagging

    @property
    def any_over_cap(self) -> bool:
        """Tell whether an account may be over the usage cap."""
        return self._ledger.has_usage_cap

    def is_capped(self, account: str) -> bool:
        """Tell whether an account is over the usage cap."""
        return self._ledger.exceeds_usage_cap(account)

    def is_full(self, account: str) -> bool:
        """Tell whether no more requests of an account may wait."""
        if self.is_capped(account):
            return True
        if account not in self._near_limit:
            return False
        waiting = self._waiting[account]
        if waiting >= (MAX_WAITING_LAGGING_WITHIN if self._limit.lagging else MAX_WAITING):
            return True
        # Requests of an account far over its share don't wait for a slot; those counted are being
        # answered by slot owners.
        return waiting >= self._limit.max_waiting and self._ledger.is_far_over_share(account)

    def lacks_room(self, account: str) -> bool:
        """Tell whether the backlog of a full account is due to engines that lack room for it.

        Otherwise it is due to the lag of this router, or to a cap on the account.
        """
        return not (self._limit.lagging or self.is_capped(account))

    def record_refused(self, account: str) -> None:
        """Count the demand of a request that was refused unread."""
        self._ledger.record_unread_demand(account, lacks_room=self.lacks_room(account))

    def add_waiting(self, account: str) -> None:
        """Count a request that begins to wait."""
        self._waiting[account] += 1
        if self._waiting[account] >= MAX_WAITING_LAGGING:
            self._near_limit.add(account)

    def remove_waiting(self, account: str) -> None:
        """Count a request that no longer waits."""
        self._waiting[account] -= 1
        if self._waiting[account] < MAX_WAITING_LAGGING:
            self._near_limit.discard(account)
        if not self._waiting[account]:
            del self._waiting[account]
