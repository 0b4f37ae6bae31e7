"""Limit on the memory that request bodies take in a router."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from loomyard.errors import Fault, ResultCode
from loomyard_router.routed.body_metrics import BodyMetrics

if TYPE_CHECKING:
    import random

# Bodies up to this size count as small: prompts of some ten thousand tokens.
SMALL_BYTES = 1 << 16
# Fraction of the budget that is reserved for small bodies.
SMALL_FRACTION = 0.25
# Fraction of the rest of the budget that one client account may use for several large bodies.
ACCOUNT_FRACTION = 0.5
# Bounds of Retry-After in seconds: a body of some megabytes is released with its answer, after a
# second or so.
MIN_RETRY_AFTER = 0.5
MAX_RETRY_AFTER = 1.5


class BodyBudget:
    """Reserve memory for request bodies before they are read; a body without room is refused.

    Small bodies may use the whole budget of ``max_bytes``, large ones all but ``SMALL_FRACTION`` of
    it. Of the latter, an account with several large bodies may use ``ACCOUNT_FRACTION``.
    """

    def __init__(self, max_bytes: int, rng: random.Random) -> None:
        self._max_bytes = max_bytes
        self._rng = rng
        self._held_bytes = 0
        self._large_bytes = 0
        self._large_by_account: Counter[str] = Counter()
        self.peak_bytes = 0
        self.refused = 0

    @property
    def held_bytes(self) -> int:
        """Return the number of bytes that are reserved now."""
        return self._held_bytes

    @property
    def metrics(self) -> BodyMetrics:
        """Return the metrics of this budget."""
        return BodyMetrics(
            held_bytes=lambda: self._held_bytes,
            peak_bytes=lambda: self.peak_bytes,
            refused=lambda: self.refused,
        )

    def make_reservation(self, account: str) -> BodyReservation:
        """Return an empty reservation for a body of a client account."""
        return BodyReservation(self, account)

    def reserve(self, account: str, held: int, more: int) -> Result[None, Fault]:
        """Add to the bytes that a body holds. Errors: ``BODIES_HELD``; nothing changes then."""
        is_large = held + more > SMALL_BYTES
        more_large = (more if held > SMALL_BYTES else held + more) if is_large else 0
        if not self._fits(
            account, more, more_large, is_first=self._large_by_account[account] <= held
        ):
            self.refused += 1
            return Err(self._refusal(account, held + more))
        self._held_bytes += more
        self._large_bytes += more_large
        self._large_by_account[account] += more_large
        self.peak_bytes = max(self.peak_bytes, self._held_bytes)
        return Ok(None)

    def release(self, account: str, held: int) -> None:
        """Release all bytes that a body held."""
        self._held_bytes -= held
        if held > SMALL_BYTES:
            self._large_bytes -= held
            self._large_by_account[account] -= held
        if not self._large_by_account[account]:
            del self._large_by_account[account]

    def _fits(self, account: str, more: int, more_large: int, *, is_first: bool) -> bool:
        if self._held_bytes + more > self._max_bytes:
            return False
        if not more_large:
            return True
        large_limit = self._max_bytes * (1.0 - SMALL_FRACTION)
        if self._large_bytes + more_large > large_limit:
            return False
        return (
            is_first
            or self._large_by_account[account] + more_large <= ACCOUNT_FRACTION * large_limit
        )

    def _refusal(self, account: str, size: int) -> Fault:
        detail = (
            f"no room for a body of {size} bytes of the account {account!r}: "
            f"{self._held_bytes} of {self._max_bytes} bytes are held, "
            f"{self._large_by_account[account]} by large bodies of the account"
        )
        seconds = self._rng.uniform(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
        return Fault(code=ResultCode.BODIES_HELD, detail=detail, retry_after=seconds)


class BodyReservation:
    """Memory reserved for one body; ``release`` is idempotent."""

    def __init__(self, budget: BodyBudget, account: str) -> None:
        self._budget = budget
        self._account = account
        self._held = 0

    def grow_to(self, size: int) -> Result[None, Fault]:
        """Raise the reservation to ``size`` bytes in all. Errors: ``BODIES_HELD``."""
        if size <= self._held:
            return Ok(None)
        reserved = self._budget.reserve(self._account, self._held, size - self._held)
        if reserved.is_ok():
            self._held = size
        return reserved

    def release(self) -> None:
        """Release all bytes of the reservation."""
        held, self._held = self._held, 0
        if held:
            self._budget.release(self._account, held)
