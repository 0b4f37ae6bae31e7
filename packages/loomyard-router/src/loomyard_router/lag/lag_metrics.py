"""Metrics of the event-loop lag, and of connections passed on because of it."""

from __future__ import annotations

from collections.abc import Callable

from attrs import frozen


@frozen(kw_only=True)
class LagMetrics:
    """Callables that are read when metrics are scraped.

    ``lagging_routers`` counts the routers known to lag, this one included; ``offloaded`` the
    connections passed on since the start, ``offloaded_open`` those that are open.
    """

    is_lagging: Callable[[], bool] = lambda: False
    lagging_routers: Callable[[], int] = lambda: 0
    offloaded: Callable[[], int] = lambda: 0
    offloaded_open: Callable[[], int] = lambda: 0
