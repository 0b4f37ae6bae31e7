"""Messages by which routers tell each other what a feed says."""

from __future__ import annotations

from attrs import field, frozen

from loomyard_router.feeds.keyed_record import KeyedRecord
from loomyard_router.peers.message_types import peer_message


@peer_message("fr")
@frozen(kw_only=True)
class FeedRequest:
    """Ask for a feed, if the receiver has read beyond an offset."""

    feed: str
    beyond: int


@peer_message("fw")
@frozen(kw_only=True)
class FeedWait:
    """Ask for a feed as soon as the receiver has read beyond an offset; ``wait`` in milliseconds.

    ``answering`` is what the sender believes of the store; a change of that is an answer, too.
    """

    feed: str
    beyond: int
    wait: int
    answering: bool = True


@peer_message("fa")
@frozen(kw_only=True)
class FeedAnswer:
    """The newest record of each key up to an offset; no offset where nothing newer is known.

    ``answering`` tells whether the store answers the sender.
    """

    next_offset: int = -1
    records: list[KeyedRecord] = field(factory=list)
    answering: bool = True
