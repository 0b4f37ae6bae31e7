"""Simulated load of one client account."""

from __future__ import annotations

from attrs import frozen


@frozen(kw_only=True)
class Load:
    """Closed-loop load of an account on a service.

    Within each of the ``spans`` (begin and end in seconds) it keeps ``outstanding`` requests open,
    with ``mean`` tokens each on average, spread over the positions in ``routers``.
    """

    account: str
    service: str
    mean: float
    outstanding: int
    routers: tuple[int, ...]
    weight: float = 1.0
    spans: tuple[tuple[float, float], ...] = ((0.0, 1e9),)
