"""How far a router has come in a feed, for metrics."""

from __future__ import annotations

from attrs import frozen

from loomyard_router.feeds.feed_position import FeedPosition


@frozen(kw_only=True)
class FeedState:
    """The position here and the highest that was announced.

    ``dropped`` counts answers of eras before the newest that is known.
    ``silent`` is the seconds since the store last answered on the feed, to this router or to the
    reader at which it waits.
    """

    name: str
    position: FeedPosition
    announced: FeedPosition
    silent_seconds: float
    dropped: int = 0
