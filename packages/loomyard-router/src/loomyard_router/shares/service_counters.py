"""Normalized service received by each client account: cost over weight."""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from loomyard.objects import ClientAccount


class ServiceCounters:
    """Virtual token counters of a fair queue.

    An idle account earns no credit; one whose requests still wait or run keeps its level.
    """

    def __init__(self) -> None:
        self._levels: defaultdict[str, float] = defaultdict(float)
        self._active: Counter[str] = Counter()

    def level(self, account: str) -> float:
        """Return the normalized service of an account."""
        return self._levels[account]

    def add(self, account: ClientAccount, cost: float) -> None:
        """Add service in units of cost; negative to correct an estimate that was too high."""
        self._levels[account.metadata.name] += cost / account.weight

    def activate(self, account: ClientAccount) -> None:
        """Count a new request; lift an account that was idle to the lowest active level."""
        name = account.metadata.name
        if not self._active[name]:
            lowest = min(
                (self._levels[other] for other in self._active if other != name), default=0
            )
            self._levels[name] = max(self._levels[name], lowest)
        self._active[name] += 1

    def deactivate(self, account: ClientAccount) -> None:
        """Count the end of a request."""
        name = account.metadata.name
        self._active[name] -= 1
        if not self._active[name]:
            del self._active[name]
