"""How long slots are leased, and how often routers report, at each size of fleet."""

from __future__ import annotations

LEASE = 2.4
# The lease while nothing waits or runs anywhere, so that renewals are few.
IDLE_LEASE = 6.0
# What one reply takes of the allocator's budget, in bytes, and how often it comes in a lease.
REPLY_BYTES = 200
REPLIES_PER_LEASE = 2.5
# Reports that are not urgent leave at least this much time between them.
REPORT_GAP = 0.4
REPORTS_PER_LEASE = 6
URGENT_PART = 0.125


def lease_term(routers: int, byte_rate: float, *, idle: bool = False) -> float:
    """Return the lease in seconds: time to answer every router within ``byte_rate`` a second."""
    round_trip = routers * REPLY_BYTES / byte_rate
    return max(IDLE_LEASE if idle else LEASE, REPLIES_PER_LEASE * round_trip)


def report_gap(lease: float) -> float:
    """Return the seconds between reports that are not urgent."""
    return max(REPORT_GAP, lease / REPORTS_PER_LEASE)


def urgent_gap(lease: float) -> float:
    """Return the seconds between urgent reports: none in a small fleet."""
    return max(0.0, lease - IDLE_LEASE) * URGENT_PART
