"""Levels of client accounts over the whole fleet: service over weight, as the allocator sees it."""

from __future__ import annotations

from collections import Counter, defaultdict

from loomyard_router.shares.floor_level import FloorLevel
from loomyard_router.shares.messages import UNKNOWN_LEVEL

LINGER = 1.0


class FleetLevels:
    """Sum what routers report of accounts, and lift accounts that come back from idleness.

    A source is one start of one router. An account of which nothing waited or ran anywhere for
    ``LINGER`` seconds is lifted to the floor, the least level among the backlogged; one whose
    requests only ran keeps a bounded credit below the floor.
    """

    def __init__(self) -> None:
        self.floor = FloorLevel()
        self._levels: dict[bytes, float] = {}
        self._reported: defaultdict[tuple[str, int], dict[bytes, int]] = defaultdict(dict)
        self._waiting: Counter[bytes] = Counter()
        self._active: Counter[bytes] = Counter()
        self._waited_at: dict[bytes, float] = {}
        self._active_at: dict[bytes, float] = {}

    def level(self, account: bytes) -> float:
        """Return the level of an account."""
        return self._levels.get(account, self.floor.value)

    def offset(self, source: tuple[str, int], account: bytes) -> int:
        """Return the level less what a source reported."""
        return round(self.level(account) - self._reported[source].get(account, 0))

    def report(self, source: tuple[str, int], account: bytes, service: int, known: int) -> None:
        """Take in the service that a source gave an account since its start."""
        reported = self._reported[source].get(account)
        self._reported[source][account] = service
        level = self._levels.get(account)
        if reported is not None and level is not None:
            self._levels[account] = level + service - reported
        elif known != UNKNOWN_LEVEL:
            self._levels[account] = max(known, level or 0.0)
        else:
            self._levels[account] = self.level(account) + service

    def align(self, floor: int, tolerance: float) -> float | None:
        """Return how far the levels of a joining router are from those here.

        ``None`` where they are the same but for staleness. After a partition they are not: each
        side counted on without the other, and only distances from the floor compare.
        """
        if floor == UNKNOWN_LEVEL:
            return None
        if not self.floor.known:
            self.floor.value, self.floor.known = floor, True
            return None
        shift = self.floor.value - floor
        return shift if abs(shift) > tolerance else None

    def join(
        self, source: tuple[str, int], account: bytes, service: int, level: float, now: float
    ) -> None:
        """Take in an account of a router from the other side of a partition.

        An account that was backlogged on this side too keeps its level here.
        """
        self._reported[source][account] = service
        if not self._waiting[account] and self._absent(self._waited_at, account, now):
            self._levels[account] = level

    def begin_waiting(self, account: bytes, now: float, *, credit: float, lift: bool) -> None:
        """Take in that an account waits at one more router."""
        if lift and not self._waiting[account] and self._absent(self._waited_at, account, now):
            self._lift(account, self.floor.value - credit)
        self._waiting[account] += 1

    def end_waiting(self, account: bytes, now: float) -> None:
        """Take in that an account waits at one router less."""
        self._leave(self._waiting, self._waited_at, account, now)

    def begin_active(self, account: bytes, now: float, *, lift: bool) -> None:
        """Take in that an account waits or runs at one more router."""
        if lift and not self._active[account] and self._absent(self._active_at, account, now):
            self._lift(account, self.floor.value)
        self._active[account] += 1

    def end_active(self, account: bytes, now: float) -> None:
        """Take in that an account waits or runs at one router less."""
        self._leave(self._active, self._active_at, account, now)

    def forget(self, source: tuple[str, int]) -> None:
        """Drop the counters of a start of a router that has ended."""
        self._reported.pop(source, None)

    def _lift(self, account: bytes, least: float) -> None:
        self._levels[account] = max(self.level(account), least)

    def _absent(self, left_at: dict[bytes, float], account: bytes, now: float) -> bool:
        return now - left_at.get(account, -LINGER) >= LINGER

    def _leave(
        self, counter: Counter[bytes], left_at: dict[bytes, float], account: bytes, now: float
    ) -> None:
        counter[account] -= 1
        if counter[account] <= 0:
            del counter[account]
            left_at[account] = now
