"""Put in force what a feed of configurations says."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen
from result import Err

from loomyard_router.feeds.record_consumer import STORE
from loomyard_router.feeds.unreadable_entries import UnreadableEntries
from loomyard_router.routes.table_holder import TableHolder

if TYPE_CHECKING:
    from loomyard_router.feeds.keyed_record import KeyedRecord

FEED = "configuration"


@frozen
class TableFeed:
    """The taker of records; the configuration stands whole under one key."""

    holder: TableHolder
    key: str
    unreadable: UnreadableEntries

    def apply_listing(self, records: list[KeyedRecord], source: str) -> None:
        self._offer(records, source)

    def apply_records(self, records: list[KeyedRecord], source: str = STORE) -> None:
        self._offer(records, source)

    def on_store_lost(self) -> None:
        pass

    def on_store_recovered(self) -> None:
        pass

    def _offer(self, records: list[KeyedRecord], source: str) -> None:
        # The last one first: a whole version that can be read makes the ones before it needless.
        for record in reversed(records):
            if record.key != self.key or record.value is None:
                continue
            match self.holder.offer(record.value, source):
                case Err(entry):
                    self.unreadable.report(FEED, record.key, record.position, entry)
                case _:
                    return
