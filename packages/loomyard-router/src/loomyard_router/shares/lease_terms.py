"""Lease durations and report intervals, in seconds, by fleet size."""

from __future__ import annotations

LEASE_SECONDS = 2.4
# While no request waits or runs anywhere, a longer lease needs fewer renewals.
IDLE_LEASE_SECONDS = 6.0
# Bytes of one reply in the allocator's budget, and replies to each router in one lease.
REPLY_BYTES = 200
REPLIES_PER_LEASE = 2.5
# Non-urgent reports: minimum seconds between two, and maximum number in one lease.
MIN_REPORT_INTERVAL = 0.4
REPORTS_PER_LEASE = 6
URGENT_INTERVAL_FRACTION = 0.125


def lease_seconds(routers: int, byte_rate: float, *, idle: bool = False) -> float:
    """Return the lease, long enough to answer every router at ``byte_rate`` bytes a second."""
    round_trip = routers * REPLY_BYTES / byte_rate
    return max(IDLE_LEASE_SECONDS if idle else LEASE_SECONDS, REPLIES_PER_LEASE * round_trip)


def report_interval(lease: float) -> float:
    """Return the minimum seconds between non-urgent reports."""
    return max(MIN_REPORT_INTERVAL, lease / REPORTS_PER_LEASE)


def urgent_report_interval(lease: float) -> float:
    """Return the minimum seconds between urgent reports, 0 in a small fleet."""
    return max(0.0, lease - IDLE_LEASE_SECONDS) * URGENT_INTERVAL_FRACTION
