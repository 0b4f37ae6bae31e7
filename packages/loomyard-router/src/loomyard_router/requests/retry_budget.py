"""Budgets of retries, so that retries can't multiply the load."""

from __future__ import annotations

from collections import OrderedDict

TOKENS_PER_REQUEST = 0.2
MAX_TOKENS = 10.0
REMEMBERED_KEYS = 4096


class RetryBudget:
    """A token bucket for each key: a request brings a fraction of a token, a retry takes one."""

    def __init__(self) -> None:
        self._tokens: OrderedDict[str, float] = OrderedDict()

    def deposit(self, key: str) -> None:
        """Take in a first attempt."""
        self._put(key, min(MAX_TOKENS, self._level(key) + TOKENS_PER_REQUEST))

    def has(self, key: str) -> bool:
        """Tell whether a retry is left."""
        return self._level(key) >= 1.0

    def take(self, key: str) -> None:
        """Spend one retry."""
        self._put(key, self._level(key) - 1.0)

    def _level(self, key: str) -> float:
        return self._tokens.get(key, MAX_TOKENS)

    def _put(self, key: str, level: float) -> None:
        self._tokens[key] = level
        self._tokens.move_to_end(key)
        while len(self._tokens) > REMEMBERED_KEYS:
            self._tokens.popitem(last=False)
