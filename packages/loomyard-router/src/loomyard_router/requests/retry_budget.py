"""Budgets of retries, so that retries can't multiply the load."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

TOKENS_PER_REQUEST = 0.2
MAX_TOKENS = 10.0
REMEMBERED_KEYS = 4096


class RetryBudget:
    """A token bucket for each key: a request brings a fraction of a token, a retry takes one.

    ``most`` gives the size of a full bucket, which may change with the size of the fleet.
    """

    def __init__(
        self,
        *,
        per_request: float = TOKENS_PER_REQUEST,
        max_tokens: Callable[[], float] = lambda: MAX_TOKENS,
    ) -> None:
        self._per_request = per_request
        self._most = max_tokens
        self._tokens: OrderedDict[str, float] = OrderedDict()

    def deposit(self, key: str) -> None:
        """Take in a first attempt."""
        self._put(key, self._level(key) + self._per_request)

    def has(self, key: str) -> bool:
        """Tell whether a retry is left."""
        return self._level(key) >= 1.0

    def take(self, key: str) -> None:
        """Spend one retry."""
        self._put(key, self._level(key) - 1.0)

    def _level(self, key: str) -> float:
        most = self._most()
        return min(most, self._tokens.get(key, most))

    def _put(self, key: str, level: float) -> None:
        self._tokens[key] = min(self._most(), level)
        self._tokens.move_to_end(key)
        while len(self._tokens) > REMEMBERED_KEYS:
            self._tokens.popitem(last=False)
