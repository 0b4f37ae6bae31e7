"""Several consumers of one feed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

from loomyard_router.feeds.record_consumer import STORE, RecordConsumer

if TYPE_CHECKING:
    from collections.abc import Callable

    from loomyard_router.feeds.keyed_record import KeyedRecord


@frozen
class FanOutConsumer:
    """Pass each call on to several consumers, in their order."""

    consumers: tuple[RecordConsumer, ...]

    def apply_listing(self, records: list[KeyedRecord], source: str) -> None:
        self._call_each(lambda consumer: consumer.apply_listing(records, source))

    def apply_records(self, records: list[KeyedRecord], source: str = STORE) -> None:
        self._call_each(lambda consumer: consumer.apply_records(records, source))

    def on_store_lost(self) -> None:
        self._call_each(lambda consumer: consumer.on_store_lost())

    def on_store_recovered(self) -> None:
        self._call_each(lambda consumer: consumer.on_store_recovered())

    def _call_each(self, call: Callable[[RecordConsumer], None]) -> None:
        errors = []
        for consumer in self.consumers:
            try:
                call(consumer)
            except Exception as error:  # raised below, once the others have what is theirs
                errors.append(error)
        if errors:
            raise errors[0] if len(errors) == 1 else ExceptionGroup("consumers failed", errors)
