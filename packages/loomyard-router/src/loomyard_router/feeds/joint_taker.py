"""Several takers of one feed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

from loomyard_router.feeds.record_taker import STORE, RecordTaker

if TYPE_CHECKING:
    from loomyard_router.feeds.keyed_record import KeyedRecord


@frozen
class JointTaker:
    """Give all that a feed says to each taker, in their order."""

    takers: tuple[RecordTaker, ...]

    def take_listing(self, records: list[KeyedRecord], source: str) -> None:
        for taker in self.takers:
            taker.take_listing(records, source)

    def take_records(self, records: list[KeyedRecord], source: str = STORE) -> None:
        for taker in self.takers:
            taker.take_records(records, source)

    def note_lost(self) -> None:
        for taker in self.takers:
            taker.note_lost()

    def note_regained(self) -> None:
        for taker in self.takers:
            taker.note_regained()
