"""The load of one account on share policies."""

from __future__ import annotations

from attrs import frozen


@frozen(kw_only=True)
class Load:
    """What an account sends: ``outstanding`` requests at all times between its ``spans``."""

    account: str
    service: str
    mean: float
    outstanding: int
    routers: tuple[int, ...]
    weight: float = 1.0
    spans: tuple[tuple[float, float], ...] = ((0.0, 1e9),)
