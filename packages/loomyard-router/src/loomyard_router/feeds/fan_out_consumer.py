"""Several consumers of one feed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

from loomyard_router.feeds.record_consumer import STORE, RecordConsumer

if TYPE_CHECKING:
    from loomyard_router.feeds.keyed_record import KeyedRecord


@frozen
class FanOutConsumer:
    """Pass each call on to several consumers, in their order."""

    consumers: tuple[RecordConsumer, ...]

    def apply_listing(self, records: list[KeyedRecord], source: str) -> None:
        for consumer in self.consumers:
            consumer.apply_listing(records, source)

    def apply_records(self, records: list[KeyedRecord], source: str = STORE) -> None:
        for consumer in self.consumers:
            consumer.apply_records(records, source)

    def on_store_lost(self) -> None:
        for consumer in self.consumers:
            consumer.on_store_lost()

    def on_store_recovered(self) -> None:
        for consumer in self.consumers:
            consumer.on_store_recovered()
