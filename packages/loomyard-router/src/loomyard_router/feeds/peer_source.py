"""The protocol by which a follower gets the records of a feed from other routers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

# A poll of a reader is short, so that a paused reader is noticed within the bound on the time until
# a configuration is in force everywhere.
READER_POLL_SECONDS = 1.0

if TYPE_CHECKING:
    from loomyard_router.feeds.effective_records import RetainedRecord
    from loomyard_router.feeds.exchange_messages import FeedAnswer
    from loomyard_router.feeds.feed_follower import FeedFollower


class PeerSource(Protocol):
    """Get the records of a feed from other routers instead of the store."""

    def poll(
        self, follower: FeedFollower, seconds: float = READER_POLL_SECONDS
    ) -> FeedAnswer | None:
        """Poll another router, which waits so long for records; ``None`` to read the store."""

    def fetch_retained(self, follower: FeedFollower) -> list[RetainedRecord]:
        """Fetch the records that override the store at other routers since its rollback."""
