"""One service of a route and its part of the requests."""

from __future__ import annotations

from attrs import frozen


@frozen(kw_only=True)
class ServiceShare:
    """A service and its weight among the services of a route."""

    service: str
    weight: float = 1.0
