"""Metrics of the memory of this process, and of shortages."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from attrs import frozen

from loomyard_router.memory.shortages import shortage_counts
from loomyard_router.memory.usage import Usage, read_usage


@frozen(kw_only=True)
class MemoryMetrics:
    """Callables that are read when metrics are scraped.

    ``errors`` counts failed allocations and the like by what was lacking; ``shortages`` the times
    in which requests were refused for it, and ``is_short`` tells whether it is one.
    """

    usage: Callable[[], Usage] = read_usage
    errors: Callable[[], Mapping[str, int]] = shortage_counts
    shortages: Callable[[], int] = lambda: 0
    is_short: Callable[[], bool] = lambda: False
