"""How many requests of each client account wait for a place at this router."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from loomyard_router.admission.crowd_limit import (
    MOST_BEHIND,
    MOST_WAITING,
    CrowdLimit,
    FewAlways,
)

if TYPE_CHECKING:
    from loomyard_router.admission.share_ledger import ShareLedger


class WaitingAccounts:
    """Count who waits; an account of which many wait is full."""

    def __init__(self, ledger: ShareLedger, limit: CrowdLimit | None = None) -> None:
        self._ledger = ledger
        self._limit = limit or FewAlways()
        self._waiting: Counter[str] = Counter()
        self._crowded: set[str] = set()

    @property
    def crowded(self) -> bool:
        """Tell whether there may be an account that is full."""
        return bool(self._crowded)

    def is_full(self, account: str) -> bool:
        """Tell whether no more requests of an account may wait."""
        if self._ledger.outran(account):
            return True
        if account not in self._crowded:
            return False
        waiting = self._waiting[account]
        if waiting >= MOST_WAITING:
            return True
        # An account far beyond its share does not wait: these are on their way to keepers and back.
        return waiting >= self._limit.most and self._ledger.far_beyond(account)

    def enter(self, account: str) -> None:
        """Count a request that begins to wait."""
        self._waiting[account] += 1
        if self._waiting[account] >= MOST_BEHIND:
            self._crowded.add(account)

    def leave(self, account: str) -> None:
        """Count a request that waits no more."""
        self._waiting[account] -= 1
        if self._waiting[account] < MOST_BEHIND:
            self._crowded.discard(account)
        if not self._waiting[account]:
            del self._waiting[account]
