"""What operators see of targets and of what is said of them."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from attrs import frozen

from loomyard_router.feeds.unreadable_entry import Unreadable


@frozen(kw_only=True)
class AnnouncedFigures:
    """Reads for metrics: data centres emptied, targets cold, and two counts since the start."""

    emptied: Callable[[], int] = lambda: 0
    cold: Callable[[], int] = lambda: 0
    lives_replaced: Callable[[], int] = lambda: 0
    unreadable: Callable[[], Mapping[tuple[str, Unreadable], int]] = dict
