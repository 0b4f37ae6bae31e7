"""The protocol of a consumer of the records of a feed."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from loomyard_router.feeds.keyed_record import KeyedRecord

# Where records came from.
STORE = "store"
PEER = "peer"


class RecordConsumer(Protocol):
    """Consume the records of a feed."""

    def apply_listing(self, records: list[KeyedRecord], source: str) -> None:
        """Replace all records by the newest record of each key; a key not listed is deleted.

        ``source`` is ``STORE`` or, where another router sent the records, ``PEER``.
        """

    def apply_records(self, records: list[KeyedRecord], source: str = STORE) -> None:
        """Apply changes in order; ``source`` as for a listing."""

    def on_store_lost(self) -> None:
        """Learn that the store stopped answering."""

    def on_store_recovered(self) -> None:
        """Learn that the store answers again."""
