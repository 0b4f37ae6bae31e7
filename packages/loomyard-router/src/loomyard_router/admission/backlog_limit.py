"""Limits on the requests of one client account that wait at this router."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from attrs import frozen

# Each request waits about 0.1 s. More of them would make the event loop lag for all accounts: a
# burst of 300 requests a second of one account did so on half a core.
MAX_WAITING = 48
# A lagging router can still handle this many.
MAX_WAITING_LAGGING = 12
# Event-loop lag, in seconds, above which the router counts as lagging.
LAG_THRESHOLD_SECONDS = 0.015


class BacklogLimit(Protocol):
    """Limit the waiting requests of an account that is far over its share."""

    @property
    def max_waiting(self) -> int:
        """Return how many may wait."""


class AlwaysLowLimit:
    """Always apply the lower limit, whether the router lags or not."""

    @property
    def max_waiting(self) -> int:
        return MAX_WAITING_LAGGING


@frozen
class LagAwareLimit:
    """Apply the lower limit only while the event loop of this router lags.

    Applied always, it would treat accounts that are far over their shares unequally: one whose
    callers all use one router would be refused there, before its requests are decoded, while one
    that is spread over the fleet could still ask at all other routers.
    ``lag`` returns the event-loop lag in seconds.
    """

    lag: Callable[[], float]

    @property
    def max_waiting(self) -> int:
        return MAX_WAITING_LAGGING if self.lag() > LAG_THRESHOLD_SECONDS else MAX_WAITING
