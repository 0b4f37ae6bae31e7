"""What one client account does in a bench."""

from __future__ import annotations

from enum import Enum

from attrs import frozen


class Pattern(Enum):
    """When an account sends."""

    BACKLOG = "backlog"
    RETURNING = "returning"
    POISSON = "poisson"
    BURSTS = "bursts"
    FLOOD = "flood"


@frozen(kw_only=True)
class AccountPlan:
    """An account, its services, the routers its callers land on and how it sends.

    ``callers`` counts requests kept outstanding on each service (BACKLOG, RETURNING) or sent at
    once (BURSTS); ``rate`` is in requests a second (POISSON, FLOOD). ``mean_cost`` is in tokens,
    or in seconds for a plain service.
    """

    name: str
    pattern: Pattern
    services: tuple[str, ...]
    routers: tuple[int, ...]
    mean_cost: float
    weight: float = 1.0
    callers: int = 0
    rate: float = 0.0
    queue_limit: int = 256
