"""Messages by which routers pass on the records of a feed."""

from __future__ import annotations

from attrs import field, frozen

from loomyard_router.feeds.effective_records import RetainedRecord
from loomyard_router.feeds.feed_position import NO_POSITION, FeedPosition
from loomyard_router.feeds.keyed_record import KeyedRecord
from loomyard_router.peers.message_types import peer_message


@peer_message("fr")
@frozen(kw_only=True)
class FeedRequest:
    """Ask for the records of a feed from a position on, to be answered at once.

    ``era`` is the newest era of the store that the sender knows.
    """

    feed: str
    since: FeedPosition
    era: int = 0


@peer_message("fw")
@frozen(kw_only=True)
class FeedPoll:
    """Long poll for the records of a feed from a position on, for up to ``wait`` milliseconds.

    ``store_available`` is whether the store answers, as far as the sender knows; a receiver that
    finds otherwise answers at once.
    """

    feed: str
    since: FeedPosition
    wait: int
    store_available: bool = True
    era: int = 0


@peer_message("fa")
@frozen(kw_only=True)
class FeedAnswer:
    """The newest record of each key up to a position; empty where nothing newer is known.

    ``store_available`` tells whether the store answers the sender, ``retained`` which records
    override the store there since its rollback. With ``is_delta`` the records are only those that
    changed since the requested position; the value of a deleted key is ``None``.
    """

    position: FeedPosition = NO_POSITION
    records: list[KeyedRecord] = field(factory=list)
    store_available: bool = True
    era: int = 0
    retained: list[RetainedRecord] = field(factory=list)
    is_delta: bool = False
