"""Until when a router may act on what it read of a feed."""

from __future__ import annotations

import math

from attrs import define

from loomyard.clock import Clock

# A calm router renews its leases at a lower age than this, so that no request waits: it pauses
# for 0.5 s after a read with changes and sees within 0.4 s that the next one stays silent.
MIN_AGE_SECONDS = 1.6


@define(eq=False)
class ReadLease:
    """The lease on what was read of a feed, in seconds of this router's monotonic clock.

    ``read_at``: all that the store accepted before this time has been read, provided that a store
    which stays silent on an outstanding read has nothing to tell. ``max_age`` is for how long that
    may be used. A router that knows of an outage of the store goes on with what it has: for
    ``outage_age`` after each failed call. Before the first listing nothing is used at all, so the
    lease does not end.
    """

    clock: Clock
    max_age: float
    outage_age: float
    read_at: float = math.inf
    valid_until: float = math.inf

    @property
    def has_expired(self) -> bool:
        return self.clock.now() >= self.valid_until

    @property
    def age(self) -> float:
        """Return how long ago the feed was read, 0 before its first listing."""
        return max(0.0, self.clock.now() - self.read_at)

    def renew(self, read_at: float) -> None:
        """Record that everything accepted before a time has been read."""
        if self.read_at == math.inf:
            self.read_at, self.valid_until = read_at, read_at + self.max_age
        self.read_at = max(self.read_at, read_at)
        self.valid_until = max(self.valid_until, read_at + self.max_age)

    def excuse(self) -> None:
        """Record that the store can't be asked now; what was read is used on for a while."""
        if self.read_at < math.inf:
            self.valid_until = max(self.valid_until, self.clock.now() + self.outage_age)


def make_read_lease(clock: Clock, *, bound: float, contact: float, margin: float) -> ReadLease:
    """Make a lease for what users bound to ``bound`` seconds, ``contact`` after a disturbance.

    ``margin`` is what passes between a decision and its effect.
    """
    max_age = max(MIN_AGE_SECONDS, bound - margin)
    return ReadLease(clock, max_age, max(max_age, contact - margin))
