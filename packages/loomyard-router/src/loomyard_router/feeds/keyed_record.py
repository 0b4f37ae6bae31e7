"""A record of a feed."""

from __future__ import annotations

from attrs import frozen

from loomyard_router.feeds.feed_position import FeedPosition


@frozen(kw_only=True)
class KeyedRecord:
    """The newest value of a key; ``None`` where the key was deleted.

    The record was read at ``offset`` of ``era``; neither alone identifies it.
    """

    key: str
    value: bytes | None
    offset: int
    era: int = 0

    @property
    def position(self) -> FeedPosition:
        return FeedPosition(self.era, self.offset)
