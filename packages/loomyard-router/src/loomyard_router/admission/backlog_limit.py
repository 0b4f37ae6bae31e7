"""Limits on the requests of one client account that wait at this router."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from attrs import frozen

# An account whose callers all use one router needs about as many waiting requests there as others
# have at all routers together.
MAX_WAITING = 192
# Each request waits about 0.1 s. More of them than this keep the event loop of a VM with half a
# core lagging for all accounts.
MAX_WAITING_LAGGING_WITHIN = 48
# The same for an account that is far over its share.
MAX_WAITING_LAGGING = 12
# Event-loop lag, in seconds, above which the router counts as lagging.
LAG_THRESHOLD_SECONDS = 0.015


class BacklogLimit(Protocol):
    """Limit the waiting requests of an account."""

    @property
    def lagging(self) -> bool:
        """Tell whether the event loop of this router lags."""

    @property
    def max_waiting(self) -> int:
        """Return how many may wait of an account that is far over its share."""


class AlwaysLowLimit:
    """Always apply the lower limit, whether the router lags or not."""

    @property
    def lagging(self) -> bool:
        return False

    @property
    def max_waiting(self) -> int:
        return MAX_WAITING_LAGGING


@frozen
class LagAwareLimit:
    """Apply the lower limits only while the event loop of this router lags.

    Applied always, it would treat accounts that are far over their shares unequally: one whose
    callers all use one router would be refused there, before its requests are decoded, while one
    that is spread over the fleet could still ask at all other routers.
    ``lag`` returns the event-loop lag in seconds.
    """

    lag: Callable[[], float]

    @property
    def lagging(self) -> bool:
        return self.lag() > LAG_THRESHOLD_SECONDS

    @property
    def max_waiting(self) -> int:
        return MAX_WAITING_LAGGING if self.lagging else MAX_WAITING
