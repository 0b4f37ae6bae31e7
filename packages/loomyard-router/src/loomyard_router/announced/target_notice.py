"""The notice about itself that a target sends with an answer."""

from __future__ import annotations

from attrs import frozen


@frozen(kw_only=True)
class TargetNotice:
    """Whether a target leaves, and for how many seconds this router should back off from it."""

    leaving: bool = False
    backoff_seconds: float = 0.0


NO_NOTICE = TargetNotice()
