"""A service of a route with its weight."""

from __future__ import annotations

from attrs import frozen


@frozen(kw_only=True)
class WeightedService:
    """A service that gets requests of a route in proportion to its weight."""

    service: str
    weight: float = 1.0
