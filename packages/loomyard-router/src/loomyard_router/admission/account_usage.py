"""How much each client account got lately."""

from __future__ import annotations

import math

from attrs import define, field

from loomyard.clock import Clock

FORGOTTEN = 1.0


@define(eq=False)
class _Decaying:
    value: float = 0.0
    at: float = 0.0


@define(eq=False)
class AccountUsage:
    """Work of each account in tokens, counted less the longer ago it was."""

    clock: Clock
    window: float
    _used: dict[str, _Decaying] = field(factory=dict)

    def add(self, account: str, cost: float) -> None:
        """Count work that begins."""
        now = self.clock.now()
        used = self._used.setdefault(account, _Decaying(at=now))
        used.value = self._decayed(used, now) + cost
        used.at = now

    def level(self, account: str) -> float:
        """Return what an account got lately, in tokens."""
        used = self._used.get(account)
        return 0.0 if used is None else self._decayed(used, self.clock.now())

    def levels(self) -> dict[str, float]:
        """Return the levels of all accounts that got something lately."""
        now = self.clock.now()
        levels = {account: self._decayed(used, now) for account, used in self._used.items()}
        for account, level in levels.items():
            if level < FORGOTTEN:
                del self._used[account]
        return {account: level for account, level in levels.items() if level >= FORGOTTEN}

    def _decayed(self, used: _Decaying, now: float) -> float:
        return used.value * math.exp(-max(0.0, now - used.at) / self.window)
