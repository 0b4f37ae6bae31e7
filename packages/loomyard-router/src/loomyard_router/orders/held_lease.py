"""The lease on orders while this router holds it."""

from __future__ import annotations

from attrs import frozen


@frozen(kw_only=True)
class HeldLease:
    """``since`` and ``valid_until`` are in seconds of the monotonic clock."""

    fencing: int
    since: float
    valid_until: float
