"""Metrics of requests, in bounded memory."""

from __future__ import annotations

from collections import Counter, OrderedDict
from typing import TYPE_CHECKING

from loomyard_router.metrics.key_histograms import KeyHistograms

if TYPE_CHECKING:
    from collections.abc import Iterator

    from loomyard.clock import Clock
    from loomyard.errors import ResultCode
    from loomyard_router.metrics.phase import Phase

OTHER_ACCOUNT = "other"
MAX_KEYS = 512
IDLE_SECONDS = 600.0


class RequestMetrics:
    """Histograms by client account and service, and counts of result codes.

    At most ``max_keys`` pairs of account and service have histograms of their own; the other
    accounts share those of ``other``. A new pair replaces the one that is unused for longest, if
    that is at least ``IDLE_SECONDS``; its measurements are added to ``other``.
    """

    def __init__(self, clock: Clock, *, max_keys: int = MAX_KEYS) -> None:
        self.codes: Counter[ResultCode | None] = Counter()
        self._clock = clock
        self._max_keys = max_keys
        self._keys: OrderedDict[tuple[str, str], KeyHistograms] = OrderedDict()
        self._other_accounts: dict[str, KeyHistograms] = {}

    def record(self, account: str, service: str, phase: Phase, seconds: float) -> None:
        """Record the duration of a phase of a request."""
        self._find(account, service).record(phase, seconds)

    def count(self, code: ResultCode | None) -> None:
        """Count a request by its result code, ``None`` if it was answered."""
        self.codes[code] += 1

    def items(self) -> Iterator[tuple[str, str, KeyHistograms]]:
        """Yield account, service and histograms."""
        for (account, service), histograms in list(self._keys.items()):
            yield account, service, histograms
        for service, histograms in list(self._other_accounts.items()):
            yield OTHER_ACCOUNT, service, histograms

    def _find(self, account: str, service: str) -> KeyHistograms:
        now = self._clock.now()
        key = (account, service)
        found = self._keys.get(key)
        if found is None:
            self._evict_idle(now)
            if len(self._keys) >= self._max_keys:
                return self._other_accounts.setdefault(service, KeyHistograms(now))
            found = self._keys[key] = KeyHistograms(now)
        found.used_at = now
        self._keys.move_to_end(key)
        return found

    def _evict_idle(self, now: float) -> None:
        while len(self._keys) >= self._max_keys:
            (account, service), oldest = next(iter(self._keys.items()))
            if now - oldest.used_at < IDLE_SECONDS:
                return
            del self._keys[account, service]
            self._other_accounts.setdefault(service, KeyHistograms(now)).add(oldest)
