"""Another way to hear what a feed says than to read the store."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from loomyard_router.feeds.believed_records import HeldRecord
    from loomyard_router.feeds.exchange_messages import FeedAnswer
    from loomyard_router.feeds.feed_follower import FeedFollower


class NewsSource(Protocol):
    """Another way to hear what the store says."""

    def wait_for_news(self, follower: FeedFollower) -> FeedAnswer | None:
        """Wait for news of a feed; ``None`` where the store is to be read."""

    def ask_held(self, follower: FeedFollower) -> list[HeldRecord]:
        """Ask others what they believe against a store that came back from an older copy."""
