"""Put in force what a feed of configurations says."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

from loomyard_router.feeds.feed_follower import STORE
from loomyard_router.routes.table_holder import TableHolder

if TYPE_CHECKING:
    from loomyard_router.feeds.keyed_record import KeyedRecord


@frozen
class TableFeed:
    """The taker of records; the configuration stands whole under one key."""

    holder: TableHolder
    key: str

    def take_listing(self, records: list[KeyedRecord], source: str) -> None:
        self._offer(records, source)

    def take_records(self, records: list[KeyedRecord]) -> None:
        self._offer(records, STORE)

    def note_lost(self) -> None:
        pass

    def note_regained(self) -> None:
        pass

    def _offer(self, records: list[KeyedRecord], source: str) -> None:
        # The last one first: a whole version makes the ones before it needless.
        for record in reversed(records):
            if record.key == self.key and record.value is not None:
                self.holder.offer(record.value, source)
                return
