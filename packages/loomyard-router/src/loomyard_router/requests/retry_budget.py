"""Retry budgets, which keep retries from multiplying the load."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

TOKENS_PER_REQUEST = 0.2
MAX_TOKENS = 10.0
REMEMBERED_KEYS = 4096


class RetryBudget:
    """A token bucket for each key: a request adds a fraction of a token, a retry spends one.

    ``max_tokens`` returns the capacity of a bucket, which may change with the size of the fleet.
    """

    def __init__(
        self,
        *,
        per_request: float = TOKENS_PER_REQUEST,
        max_tokens: Callable[[], float] = lambda: MAX_TOKENS,
    ) -> None:
        self._per_request = per_request
        self._max_tokens = max_tokens
        self._tokens: OrderedDict[str, float] = OrderedDict()

    def record_request(self, key: str) -> None:
        """Credit the bucket of a key with a first attempt."""
        self._store(key, self._level(key) + self._per_request)

    def has_retry(self, key: str) -> bool:
        """Tell whether a retry is left."""
        return self._level(key) >= 1.0

    def spend(self, key: str) -> None:
        """Take one token from the bucket of a key."""
        self._store(key, self._level(key) - 1.0)

    def _level(self, key: str) -> float:
        limit = self._max_tokens()
        return min(limit, self._tokens.get(key, limit))

    def _store(self, key: str, level: float) -> None:
        self._tokens[key] = min(self._max_tokens(), level)
        self._tokens.move_to_end(key)
        while len(self._tokens) > REMEMBERED_KEYS:
            self._tokens.popitem(last=False)
