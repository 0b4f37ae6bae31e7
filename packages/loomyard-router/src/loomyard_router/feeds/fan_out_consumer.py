"""Several takers of one feed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

from loomyard_router.feeds.record_consumer import STORE, RecordConsumer

if TYPE_CHECKING:
    from loomyard_router.feeds.keyed_record import KeyedRecord


@frozen
class FanOutConsumer:
    """Give all that a feed says to each taker, in their order."""

    takers: tuple[RecordConsumer, ...]

    def apply_listing(self, records: list[KeyedRecord], source: str) -> None:
        for taker in self.takers:
            taker.apply_listing(records, source)

    def apply_records(self, records: list[KeyedRecord], source: str = STORE) -> None:
        for taker in self.takers:
            taker.apply_records(records, source)

    def on_store_lost(self) -> None:
        for taker in self.takers:
            taker.on_store_lost()

    def on_store_recovered(self) -> None:
        for taker in self.takers:
            taker.on_store_recovered()
