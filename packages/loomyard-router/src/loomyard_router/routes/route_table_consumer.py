"""Consumer of the feed of configurations."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen
from result import Err

from loomyard_router.feeds.record_consumer import STORE
from loomyard_router.feeds.unreadable_entries import UnreadableEntries
from loomyard_router.routes.route_table_holder import RouteTableHolder

if TYPE_CHECKING:
    from loomyard_router.feeds.keyed_record import KeyedRecord

FEED = "configuration"


@frozen
class RouteTableConsumer:
    """Puts the newest readable configuration of a feed in force; ``key`` holds all of it."""

    holder: RouteTableHolder
    key: str
    unreadable: UnreadableEntries

    def apply_listing(self, records: list[KeyedRecord], source: str) -> None:
        self._update_holder(records, source)

    def apply_records(self, records: list[KeyedRecord], source: str = STORE) -> None:
        self._update_holder(records, source)

    def on_store_lost(self) -> None:
        pass

    def on_store_recovered(self) -> None:
        pass

    def _update_holder(self, records: list[KeyedRecord], source: str) -> None:
        # Newest first: a record is a complete version, so older ones need not be read after it.
        for record in reversed(records):
            if record.key != self.key or record.value is None:
                continue
            match self.holder.offer(record.value, source):
                case Err(entry):
                    self.unreadable.report(FEED, record.key, record.position, entry)
                case _:
                    return
