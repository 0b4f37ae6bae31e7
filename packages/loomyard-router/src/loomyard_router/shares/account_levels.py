"""Levels of client accounts as one router knows them."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from loomyard_router.shares.messages import UNKNOWN_LEVEL
from loomyard_router.shares.short_ids import short_id

if TYPE_CHECKING:
    from loomyard.objects import ClientAccount


class AccountLevels:
    """Service of this router since its start plus the offset that the allocator told."""

    def __init__(self) -> None:
        self._service: dict[bytes, float] = {}
        self._offsets: dict[bytes, float] = {}
        self._told: set[bytes] = set()
        self._active: Counter[bytes] = Counter()

    @property
    def active(self) -> Counter[bytes]:
        """Return how many requests of each account wait or run here."""
        return self._active

    def level(self, account: bytes) -> float:
        """Return the service over weight of an account in the fleet."""
        return self._offsets.get(account, 0.0) + self._service.get(account, 0.0)

    def service(self, account: bytes) -> int:
        """Return the service over weight that this router gave since its start."""
        return round(self._service.get(account, 0.0))

    def known_level(self, account: bytes) -> int:
        """Return the level to report, ``UNKNOWN_LEVEL`` where none was told."""
        return round(self.level(account)) if account in self._told else UNKNOWN_LEVEL

    def add(self, account: ClientAccount, cost: float) -> None:
        """Add service, which is negative where an estimate was too high."""
        key = short_id(account.metadata.name)
        self._service[key] = self._service.get(key, 0.0) + cost / account.weight

    def begin(self, account: bytes, floor: float) -> None:
        """Count one more request that waits or runs; presume the floor for an unknown account."""
        if account not in self._told and not self._active[account]:
            missing = floor - self.level(account)
            self._offsets[account] = self._offsets.get(account, 0.0) + max(0.0, missing)
        self._active[account] += 1

    def end(self, account: bytes) -> None:
        """Count one request less."""
        self._active[account] -= 1
        if not self._active[account]:
            del self._active[account]

    def tell(self, offsets: dict[bytes, int]) -> None:
        """Take over what the allocator told."""
        self._offsets.update(offsets)
        self._told.update(offsets)
