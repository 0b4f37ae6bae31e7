"""The protocol of a feed."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from attrs import field, frozen

from loomyard_router.feeds.feed_position import FeedPosition
from loomyard_router.feeds.keyed_record import KeyedRecord

if TYPE_CHECKING:
    from result import Result

    from loomyard.errors import Fault

# Seconds an answer may take beyond the end of a long poll; a slow store takes 0.4.
ANSWER_MARGIN_SECONDS = 1.0
# A call uses no connection that has been idle for longer: it may have broken at any time since, so
# that a failed call would not show that the store was out of reach a moment ago.
MAX_IDLE_SECONDS = 0.75


@frozen(kw_only=True)
class Listing:
    """The newest record of each key; changes at or after ``position`` may be missing."""

    records: list[KeyedRecord] = field(factory=list)
    position: FeedPosition


@frozen(kw_only=True)
class Batch:
    """Records in order, and the position from which to read on.

    A position in a later era than that of the request means that the store was rolled back to an
    older copy; the records are then not those that were requested.
    """

    records: list[KeyedRecord] = field(factory=list)
    position: FeedPosition


class Feed(Protocol):
    """A compacted log of keyed records: the newest record of each key is never trimmed.

    Errors: ``LOG_UNAVAILABLE``; reads also ``LOG_TRIMMED`` where the records are gone.
    """

    @property
    def name(self) -> str:
        """Return the name for logs."""

    def fetch_listing(self, deadline: float) -> Result[Listing, Fault]:
        """Fetch the newest record of each key, all of one era."""

    def read(self, offset: int, wait_until: float) -> Result[Batch, Fault]:
        """Read the records from an offset on, waiting until a time for the first one.

        Error: ``LOG_UNAVAILABLE`` at the latest ``ANSWER_MARGIN_SECONDS`` after that time.
        """
