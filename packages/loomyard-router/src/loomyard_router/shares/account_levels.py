"""Levels of client accounts as one router knows them.

The level of an account is its normalized service: the cost of the work done for it, divided by
its weight, over the whole fleet.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from loomyard_router.shares.messages import UNKNOWN_LEVEL
from loomyard_router.shares.short_ids import short_id

if TYPE_CHECKING:
    from loomyard.objects import ClientAccount


class AccountLevels:
    """Normalized service given here since this router started, plus the allocator's offset."""

    def __init__(self) -> None:
        self._served: dict[bytes, float] = {}
        self._offsets: dict[bytes, float] = {}
        self._confirmed: set[bytes] = set()
        self._active: Counter[bytes] = Counter()

    @property
    def active(self) -> Counter[bytes]:
        """Return how many requests of each account wait or run here."""
        return self._active

    def level(self, account: bytes) -> float:
        """Return the normalized service that an account received in the fleet."""
        return self._offsets.get(account, 0.0) + self._served.get(account, 0.0)

    def served(self, account: bytes) -> int:
        """Return the normalized service that this router gave an account since it started."""
        return round(self._served.get(account, 0.0))

    def known_level(self, account: bytes) -> int:
        """Return the level to report, ``UNKNOWN_LEVEL`` without an offset from the allocator."""
        return round(self.level(account)) if account in self._confirmed else UNKNOWN_LEVEL

    def add(self, account: ClientAccount, cost: float) -> None:
        """Add service in units of cost; negative to correct an estimate that was too high."""
        key = short_id(account.metadata.name)
        self._served[key] = self._served.get(key, 0.0) + cost / account.weight

    def begin(self, account: bytes, min_level: float) -> None:
        """Count a new request; an idle account without an offset starts at the minimum level."""
        if account not in self._confirmed and not self._active[account]:
            missing = min_level - self.level(account)
            self._offsets[account] = self._offsets.get(account, 0.0) + max(0.0, missing)
        self._active[account] += 1

    def end(self, account: bytes) -> None:
        """Count the end of a request."""
        self._active[account] -= 1
        if not self._active[account]:
            del self._active[account]

    def set_offsets(self, offsets: dict[bytes, int]) -> None:
        """Store offsets received from the allocator."""
        self._offsets.update(offsets)
        self._confirmed.update(offsets)
