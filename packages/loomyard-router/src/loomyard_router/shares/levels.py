"""Levels of client accounts over the whole fleet, as the allocator sees them.

A level is normalized service: cost divided by the account's weight, as in fair queueing.
"""

from __future__ import annotations

from collections import Counter, defaultdict

from loomyard_router.shares.messages import UNKNOWN_LEVEL
from loomyard_router.shares.min_level import MinLevel

# Seconds after which an account without requests, or without waiting ones, counts as idle.
IDLE_TIMEOUT = 1.0


class FleetLevels:
    """Sum the service that routers report, and lift accounts that return from idleness.

    A source is one start of one router. An account without any request for ``IDLE_TIMEOUT``
    seconds is lifted to the minimum level among the backlogged accounts, so that idleness earns no
    credit; one whose requests only ran keeps a bounded credit below the minimum level.
    """

    def __init__(self) -> None:
        self.min_level = MinLevel()
        self._levels: dict[bytes, float] = {}
        self._reported: defaultdict[tuple[str, int], dict[bytes, int]] = defaultdict(dict)
        self._waiting: Counter[bytes] = Counter()
        self._active: Counter[bytes] = Counter()
        self._waited_at: dict[bytes, float] = {}
        self._active_at: dict[bytes, float] = {}

    def level(self, account: bytes) -> float:
        """Return the level of an account, the minimum level if it is unknown."""
        return self._levels.get(account, self.min_level.value)

    def offset(self, source: tuple[str, int], account: bytes) -> int:
        """Return the account's level minus the service that a source reported for it."""
        return round(self.level(account) - self._reported[source].get(account, 0))

    def report(self, source: tuple[str, int], account: bytes, served: int, known: int) -> None:
        """Add the service that a source gave an account since its last report.

        ``served`` counts from the start of the source; ``known`` is the level as the source knows
        it, which rebuilds a new allocator.
        """
        reported = self._reported[source].get(account)
        self._reported[source][account] = served
        level = self._levels.get(account)
        if reported is not None and level is not None:
            self._levels[account] = level + served - reported
        elif known != UNKNOWN_LEVEL:
            self._levels[account] = max(known, level or 0.0)
        else:
            self._levels[account] = self.level(account) + served

    def shift_from(self, min_level: int, tolerance: float) -> float | None:
        """Return what to add to the levels of a joining router to compare them with those here.

        ``None`` if its minimum level is unknown or differs by at most ``tolerance``, by staleness.
        After a partition it differs more, since each side counted without the other, and only
        distances from the minimum level can be compared.
        """
        if min_level == UNKNOWN_LEVEL:
            return None
        if not self.min_level.known:
            self.min_level.value, self.min_level.known = min_level, True
            return None
        shift = self.min_level.value - min_level
        return shift if abs(shift) > tolerance else None

    def merge_account(
        self, source: tuple[str, int], account: bytes, served: int, level: float, now: float
    ) -> None:
        """Adopt the shifted level of an account from a router of the other side of a partition.

        An account that has a backlog on this side too keeps its level here.
        """
        self._reported[source][account] = served
        if not self._waiting[account] and self._is_idle(self._waited_at, account, now):
            self._levels[account] = level

    def begin_waiting(self, account: bytes, now: float, *, credit: float, lift: bool) -> None:
        """Count one more router at which requests of an account wait.

        With ``lift``, an account that had none waiting is lifted to ``credit`` below the minimum.
        """
        if lift and not self._waiting[account] and self._is_idle(self._waited_at, account, now):
            self._lift(account, self.min_level.value - credit)
        self._waiting[account] += 1

    def end_waiting(self, account: bytes, now: float) -> None:
        """Count one router less at which requests of an account wait."""
        self._decrement(self._waiting, self._waited_at, account, now)

    def begin_active(self, account: bytes, now: float, *, lift: bool) -> None:
        """Count one more router at which requests of an account wait or run."""
        if lift and not self._active[account] and self._is_idle(self._active_at, account, now):
            self._lift(account, self.min_level.value)
        self._active[account] += 1

    def end_active(self, account: bytes, now: float) -> None:
        """Count one router less at which requests of an account wait or run."""
        self._decrement(self._active, self._active_at, account, now)

    def remove_source(self, source: tuple[str, int]) -> None:
        """Remove the service reported by a source that has ended."""
        self._reported.pop(source, None)

    def _lift(self, account: bytes, minimum: float) -> None:
        self._levels[account] = max(self.level(account), minimum)

    def _is_idle(self, left_at: dict[bytes, float], account: bytes, now: float) -> bool:
        return now - left_at.get(account, -IDLE_TIMEOUT) >= IDLE_TIMEOUT

    def _decrement(
        self, counter: Counter[bytes], left_at: dict[bytes, float], account: bytes, now: float
    ) -> None:
        counter[account] -= 1
        if counter[account] <= 0:
            del counter[account]
            left_at[account] = now
