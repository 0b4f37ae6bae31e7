"""Metrics of answers that their callers do not read."""

from __future__ import annotations

from collections.abc import Callable

from attrs import frozen


@frozen(kw_only=True)
class UnreadAnswerMetrics:
    """Callables that count since the start: answers buffered for slow callers, and aborted ones."""

    buffered: Callable[[], int] = lambda: 0
    aborted: Callable[[], int] = lambda: 0
