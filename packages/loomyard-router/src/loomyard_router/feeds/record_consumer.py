"""What takes over what a feed says."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from loomyard_router.feeds.keyed_record import KeyedRecord

# Who says so.
STORE = "store"
PEER = "peer"


class RecordConsumer(Protocol):
    """Take over what a feed says."""

    def apply_listing(self, records: list[KeyedRecord], source: str) -> None:
        """Take the newest record of each key; a key that is not listed is gone.

        ``source`` tells whether the store or another router says so.
        """

    def apply_records(self, records: list[KeyedRecord], source: str = STORE) -> None:
        """Take changes in order; ``source`` as for a listing."""

    def on_store_lost(self) -> None:
        """Take in that the store does not answer."""

    def on_store_recovered(self) -> None:
        """Take in that the store answers again."""
