"""How many bytes of request bodies a router holds for callers at once."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from loomyard.errors import Fault, ResultCode
from loomyard_router.routed.body_metrics import BodyMetrics

if TYPE_CHECKING:
    import random

# Bodies up to this size are small: prompts of some ten thousand tokens.
SMALL_BYTES = 1 << 16
# Small bodies keep this part of the budget to themselves.
SMALL_PART = 0.25
# One account has at most this part of what is not kept for small ones.
ACCOUNT_PART = 0.5
# Bodies of some megabytes leave with their answers, after a second or so.
RETRY_LEAST = 0.5
RETRY_MOST = 1.5


class BodyBudget:
    """Lend bytes to bodies before they are read; who finds none is refused, and nothing was read.

    Small bodies find the whole budget, larger ones what is not kept for small ones, and of that one
    account a part, but always one body. ``most`` is in bytes.
    """

    def __init__(self, most: int, source: random.Random) -> None:
        self._most = most
        self._random = source
        self._lent = 0
        self._lent_large = 0
        self._large: Counter[str] = Counter()
        self.peak = 0
        self.refused = 0

    @property
    def lent(self) -> int:
        """Return the bytes that bodies hold now."""
        return self._lent

    @property
    def metrics(self) -> BodyMetrics:
        """Return what operators see of it."""
        return BodyMetrics(
            held_bytes=lambda: self._lent,
            peak_bytes=lambda: self.peak,
            refused=lambda: self.refused,
        )

    def open(self, account: str) -> BodyLease:
        """Begin a body of a client account."""
        return BodyLease(self, account)

    def lend(self, account: str, held: int, more: int) -> Result[None, Fault]:
        """Lend more bytes to a body that holds some; errors: ``BODIES_HELD``, nothing changes."""
        is_large = held + more > SMALL_BYTES
        grown = (more if held > SMALL_BYTES else held + more) if is_large else 0
        if not self._fits(account, more, grown, is_first=self._large[account] <= held):
            self.refused += 1
            return Err(self._refuse(account, held + more))
        self._lent += more
        self._lent_large += grown
        self._large[account] += grown
        self.peak = max(self.peak, self._lent)
        return Ok(None)

    def take_back(self, account: str, held: int) -> None:
        """Take back what a body held."""
        self._lent -= held
        if held > SMALL_BYTES:
            self._lent_large -= held
            self._large[account] -= held
        if not self._large[account]:
            del self._large[account]

    def _fits(self, account: str, more: int, grown: int, *, is_first: bool) -> bool:
        if self._lent + more > self._most:
            return False
        if not grown:
            return True
        large = self._most * (1.0 - SMALL_PART)
        if self._lent_large + grown > large:
            return False
        return is_first or self._large[account] + grown <= ACCOUNT_PART * large

    def _refuse(self, account: str, size: int) -> Fault:
        detail = (
            f"a body of {size} bytes of the account {account!r} finds no room: {self._lent} of "
            f"{self._most} bytes are held, {self._large[account]} by large bodies of the account"
        )
        seconds = self._random.uniform(RETRY_LEAST, RETRY_MOST)
        return Fault(code=ResultCode.BODIES_HELD, detail=detail, retry_after=seconds)


class BodyLease:
    """The bytes of one body; ended once, however often it is told."""

    def __init__(self, budget: BodyBudget, account: str) -> None:
        self._budget = budget
        self._account = account
        self._held = 0

    def grow_to(self, size: int) -> Result[None, Fault]:
        """Hold so many bytes in all, before they are read; errors: ``BODIES_HELD``."""
        if size <= self._held:
            return Ok(None)
        lent = self._budget.lend(self._account, self._held, size - self._held)
        if lent.is_ok():
            self._held = size
        return lent

    def end(self) -> None:
        """Give all bytes back."""
        held, self._held = self._held, 0
        if held:
            self._budget.take_back(self._account, held)
