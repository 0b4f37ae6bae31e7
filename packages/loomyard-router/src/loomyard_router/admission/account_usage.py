"""Decaying sum of the work of each client account."""

from __future__ import annotations

from attrs import define, field

from loomyard.clock import Clock
from loomyard_router.admission.decaying_sum import DecayingSum

MIN_TOKENS = 1.0


@define(eq=False)
class AccountUsage:
    """Tokens of each account, decaying exponentially over ``window`` seconds."""

    clock: Clock
    window: float
    _sums: dict[str, DecayingSum] = field(factory=dict)

    def add(self, account: str, cost: float) -> None:
        """Add the cost of a request, in tokens; a negative cost takes an earlier one back."""
        total = self._sums.setdefault(account, DecayingSum(self.window))
        total.add(cost, self.clock.now())

    def tokens(self, account: str) -> float:
        """Return the decayed sum of an account, in tokens."""
        total = self._sums.get(account)
        return 0.0 if total is None else total.value(self.clock.now())

    def all_tokens(self) -> dict[str, float]:
        """Return the sums of all accounts and drop those below ``MIN_TOKENS``."""
        now = self.clock.now()
        tokens = {account: total.value(now) for account, total in self._sums.items()}
        for account, value in tokens.items():
            if value < MIN_TOKENS:
                del self._sums[account]
        return {account: value for account, value in tokens.items() if value >= MIN_TOKENS}
