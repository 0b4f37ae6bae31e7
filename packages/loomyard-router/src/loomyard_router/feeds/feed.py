"""The protocol of a feed."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from attrs import field, frozen

from loomyard_router.feeds.feed_position import FeedPosition
from loomyard_router.feeds.keyed_record import KeyedRecord

if TYPE_CHECKING:
    from result import Result

    from loomyard.errors import Fault

# What an answer may take beyond the wait that was asked for, in seconds; a slow store takes 0.4.
ANSWER_MARGIN_SECONDS = 1.0


@frozen(kw_only=True)
class Listing:
    """The newest record of each key; changes since ``position`` may be missing."""

    records: list[KeyedRecord] = field(factory=list)
    position: FeedPosition


@frozen(kw_only=True)
class Batch:
    """Records in order, and the position to read on from.

    That of a later era than was asked for says that the store came back from an older copy: the
    records are none of those that were asked for.
    """

    records: list[KeyedRecord] = field(factory=list)
    position: FeedPosition


class Feed(Protocol):
    """Records by key, the newest of which are kept for good.

    Errors: ``LOG_UNAVAILABLE``; reads also ``LOG_TRIMMED`` where the records are gone.
    """

    @property
    def name(self) -> str:
        """Return the name for logs."""

    def fetch_listing(self, deadline: float) -> Result[Listing, Fault]:
        """Return the newest record of each key, all of one era."""

    def read(self, offset: int, wait_until: float) -> Result[Batch, Fault]:
        """Return records from an offset on, waiting for the first until a time.

        Error: ``LOG_UNAVAILABLE`` at the latest ``ANSWER_SECONDS`` after that time.
        """
