"""Messages by which routers tell each other what a feed says."""

from __future__ import annotations

from attrs import field, frozen

from loomyard_router.feeds.believed_records import HeldRecord
from loomyard_router.feeds.feed_position import NO_POSITION, FeedPosition
from loomyard_router.feeds.keyed_record import KeyedRecord
from loomyard_router.peers.message_types import peer_message


@peer_message("fr")
@frozen(kw_only=True)
class FeedRequest:
    """Ask for a feed, if the receiver has read beyond a position.

    ``era`` is the newest era of the store that the sender has heard of.
    """

    feed: str
    beyond: FeedPosition
    era: int = 0


@peer_message("fw")
@frozen(kw_only=True)
class FeedWait:
    """Ask for a feed as soon as the receiver has read beyond a position; ``wait`` in milliseconds.

    ``answering`` is what the sender believes of the store; a change of that is an answer, too.
    """

    feed: str
    beyond: FeedPosition
    wait: int
    answering: bool = True
    era: int = 0


@peer_message("fa")
@frozen(kw_only=True)
class FeedAnswer:
    """The newest record of each key up to a position; none where nothing newer is known.

    ``answering`` tells whether the store answers the sender, ``held`` what the sender believes
    against the store since that came back from an older copy. With ``changes`` the records are only
    those that changed since the position that was asked for, ``None`` in them for dropped keys.
    """

    position: FeedPosition = NO_POSITION
    records: list[KeyedRecord] = field(factory=list)
    answering: bool = True
    era: int = 0
    held: list[HeldRecord] = field(factory=list)
    changes: bool = False
