"""The order lease while this router holds it."""

from __future__ import annotations

from attrs import frozen


@frozen(kw_only=True)
class HeldLease:
    """Fencing number and validity of the lease.

    ``since`` is when this router became the holder; both times are in monotonic seconds.
    """

    fencing: int
    since: float
    valid_until: float
