"""Metrics of decisions that waited until feeds were read again."""

from __future__ import annotations

from collections.abc import Callable

from attrs import frozen


@frozen(kw_only=True)
class GuardMetrics:
    """Callables that are read when metrics are scraped: counts since the start.

    ``waits`` counts the decisions that waited, ``confirmed`` and ``unconfirmed`` the waits that
    ended with a read of all feeds and without.
    """

    waits: Callable[[], int] = lambda: 0
    confirmed: Callable[[], int] = lambda: 0
    unconfirmed: Callable[[], int] = lambda: 0
