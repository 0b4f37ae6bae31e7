"""Service received by each client account, over its weight."""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from loomyard.objects import ClientAccount


class ServiceCounters:
    """Virtual token counters: idleness earns no credit, work in progress keeps what is owed."""

    def __init__(self) -> None:
        self._levels: defaultdict[str, float] = defaultdict(float)
        self._active: Counter[str] = Counter()

    def level(self, account: str) -> float:
        """Return the service over weight of an account."""
        return self._levels[account]

    def add(self, account: ClientAccount, cost: float) -> None:
        """Add service, which is negative where an estimate was too high."""
        self._levels[account.metadata.name] += cost / account.weight

    def activate(self, account: ClientAccount) -> None:
        """Count one more request that waits or runs; lift an account that was idle."""
        name = account.metadata.name
        if not self._active[name]:
            least = min((self._levels[other] for other in self._active if other != name), default=0)
            self._levels[name] = max(self._levels[name], least)
        self._active[name] += 1

    def deactivate(self, account: ClientAccount) -> None:
        """Count one request less."""
        name = account.metadata.name
        self._active[name] -= 1
        if not self._active[name]:
            del self._active[name]
