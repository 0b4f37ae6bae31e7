"""How many requests of each client account wait for a place at this router."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from loomyard_router.admission.backlog_limit import (
    MAX_WAITING,
    MAX_WAITING_LAGGING,
    AlwaysLowLimit,
    BacklogLimit,
)

if TYPE_CHECKING:
    from loomyard_router.admission.share_ledger import ShareLedger


class AccountBacklog:
    """Count who waits; an account of which many wait is full."""

    def __init__(self, ledger: ShareLedger, limit: BacklogLimit | None = None) -> None:
        self._ledger = ledger
        self._limit = limit or AlwaysLowLimit()
        self._waiting: Counter[str] = Counter()
        self._crowded: set[str] = set()

    @property
    def any_near_limit(self) -> bool:
        """Tell whether there may be an account that is full."""
        return bool(self._crowded)

    def is_full(self, account: str) -> bool:
        """Tell whether no more requests of an account may wait."""
        if self._ledger.exceeds_usage_cap(account):
            return True
        if account not in self._crowded:
            return False
        waiting = self._waiting[account]
        if waiting >= MAX_WAITING:
            return True
        # An account far beyond its share does not wait: these are on their way to keepers and back.
        return waiting >= self._limit.most and self._ledger.is_far_over_share(account)

    def add_waiting(self, account: str) -> None:
        """Count a request that begins to wait."""
        self._waiting[account] += 1
        if self._waiting[account] >= MAX_WAITING_LAGGING:
            self._crowded.add(account)

    def remove_waiting(self, account: str) -> None:
        """Count a request that waits no more."""
        self._waiting[account] -= 1
        if self._waiting[account] < MAX_WAITING_LAGGING:
            self._crowded.discard(account)
        if not self._waiting[account]:
            del self._waiting[account]
