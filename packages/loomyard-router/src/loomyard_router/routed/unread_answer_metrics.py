"""What operators see of answers that their callers do not read."""

from __future__ import annotations

from collections.abc import Callable

from attrs import frozen


@frozen(kw_only=True)
class UnreadAnswerMetrics:
    """Counts since the start: answers kept here for slow callers, and those broken off."""

    buffered: Callable[[], int] = lambda: 0
    aborted: Callable[[], int] = lambda: 0
