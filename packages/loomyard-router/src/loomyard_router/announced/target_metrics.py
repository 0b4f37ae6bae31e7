"""What operators see of targets, of what is said of them and of what ends them."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from attrs import frozen

from loomyard_router.feeds.unreadable_entry import UnreadableReason


@frozen(kw_only=True)
class TargetMetrics:
    """Reads for metrics: states as they are, and counts since the start.

    ``suspected`` and ``blocked`` are requests under which targets ended: all of them, and those
    that are refused for it.
    """

    evacuated: Callable[[], int] = lambda: 0
    cold: Callable[[], int] = lambda: 0
    suspected: Callable[[], int] = lambda: 0
    blocked: Callable[[], int] = lambda: 0
    restarts: Callable[[], int] = lambda: 0
    backing_off: Callable[[], int] = lambda: 0
    leaving_count: Callable[[], int] = lambda: 0
    backoff_requests: Callable[[], int] = lambda: 0
    unreadable: Callable[[], Mapping[tuple[str, UnreadableReason], int]] = dict
