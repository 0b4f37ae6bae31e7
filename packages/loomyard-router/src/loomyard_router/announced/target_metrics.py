"""Metrics of announced targets, evacuations and poison requests."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from attrs import frozen

from loomyard_router.feeds.unreadable_entry import UnreadableReason


@frozen(kw_only=True)
class TargetMetrics:
    """Callables read when metrics are scraped: current states, and counts since the start.

    ``suspected`` counts the requests under which targets crashed, ``blocked`` those of them that
    are refused for it, ``blocked_parts`` the parts of prompts for which requests are refused.
    """

    evacuated: Callable[[], int] = lambda: 0
    cold: Callable[[], int] = lambda: 0
    suspected: Callable[[], int] = lambda: 0
    blocked: Callable[[], int] = lambda: 0
    blocked_parts: Callable[[], int] = lambda: 0
    restarts: Callable[[], int] = lambda: 0
    backing_off: Callable[[], int] = lambda: 0
    leaving_count: Callable[[], int] = lambda: 0
    backoff_requests: Callable[[], int] = lambda: 0
    unreadable: Callable[[], Mapping[tuple[str, UnreadableReason], int]] = dict
