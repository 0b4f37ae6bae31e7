"""How far a router has read a feed, for metrics."""

from __future__ import annotations

from attrs import frozen

from loomyard_router.feeds.feed_position import FeedPosition


@frozen(kw_only=True)
class FeedState:
    """The position of this router and the highest that a router announced.

    ``dropped`` counts answers of eras before the newest that is known.
    ``silent_seconds`` is the time since the store last answered on the feed, to this router or to
    the reader that it polls.
    """

    name: str
    position: FeedPosition
    announced: FeedPosition
    silent_seconds: float
    dropped: int = 0
