"""How many requests of an account far beyond its share may be on their way to keepers at once."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from attrs import frozen

# Each waits a tenth of a second, so more would only make the router late for everybody, as one
# account's burst of 300 a second did on half a core.
MAX_WAITING = 48
# What a router that is behind can still carry.
MAX_WAITING_LAGGING = 12
# While ready tasks wait for longer than this, the router is behind.
LAG_THRESHOLD_SECONDS = 0.015


class BacklogLimit(Protocol):
    """Bound those of one account far beyond its share."""

    @property
    def most(self) -> int:
        """Return how many may wait."""


class AlwaysLowLimit:
    """Keep the router's core for others, whether it is needed or not."""

    @property
    def most(self) -> int:
        return MAX_WAITING_LAGGING


@frozen
class LagAwareLimit:
    """Let as many ask as of any account while this router's core has time.

    An account whose callers all meet one router is refused there by its first bytes while one that
    is spread over the fleet asks on. On the heaviest day of 62 routers, on which two such accounts
    meet one each, 17,282 of 33,709 requests were answered in time in place of 16,606, and 3,274
    late in place of 3,831; on those of three small fleets 13,372 in place of 13,367 of 24,022 (one
    run each, counted at the callers).
    """

    lag: Callable[[], float]

    @property
    def most(self) -> int:
        return MAX_WAITING_LAGGING if self.lag() > LAG_THRESHOLD_SECONDS else MAX_WAITING
