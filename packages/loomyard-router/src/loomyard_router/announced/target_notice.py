"""What a target says of itself in an answer."""

from __future__ import annotations

from attrs import frozen


@frozen(kw_only=True)
class TargetNotice:
    """That a target leaves, and for how many seconds it wants nothing from this router."""

    leaving: bool = False
    backoff_seconds: float = 0.0


NO_NOTICE = TargetNotice()
