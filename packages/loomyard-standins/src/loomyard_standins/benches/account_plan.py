"""Traffic plan of one client account in a benchmark."""

from __future__ import annotations

from enum import Enum

from attrs import frozen


class Pattern(Enum):
    """Arrival pattern of the requests of an account."""

    BACKLOG = "backlog"
    RETURNING = "returning"
    POISSON = "poisson"
    BURSTS = "bursts"
    FLOOD = "flood"


@frozen(kw_only=True)
class AccountPlan:
    """A client account: its services, the routers its callers connect to and its arrivals.

    ``callers`` is the number of requests kept outstanding on each service (BACKLOG, RETURNING) or
    sent together (BURSTS); ``rate`` is in requests per second (POISSON, FLOOD). ``mean_cost`` is
    in tokens for a model service, in seconds for a plain service.
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
