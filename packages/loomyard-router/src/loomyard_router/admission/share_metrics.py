"""Metrics of shares: sums of client accounts at this router, and the shares it knows."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from attrs import frozen


@frozen(kw_only=True)
class ShareMetrics:
    """Callables that are read when metrics are scraped; all in tokens of the share window.

    ``demand``, ``usage`` and ``unmet`` are the decayed sums of what came to this router by account;
    ``shares`` are the figures of the fleet by name, without those that are not known.
    """

    demand: Callable[[], Mapping[str, float]] = dict
    usage: Callable[[], Mapping[str, float]] = dict
    unmet: Callable[[], Mapping[str, float]] = dict
    shares: Callable[[], Mapping[str, float]] = dict
