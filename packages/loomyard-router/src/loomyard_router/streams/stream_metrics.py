"""Metrics of the records of streams."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from attrs import frozen


@frozen(kw_only=True)
class StreamMetrics:
    """Callables read when metrics are scraped; ``lookups`` counts by who told the origin."""

    records: Callable[[], int] = lambda: 0
    evicted: Callable[[], int] = lambda: 0
    lookups: Callable[[], Mapping[str, int]] = dict
