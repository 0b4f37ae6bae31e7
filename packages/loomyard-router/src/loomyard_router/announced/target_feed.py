"""Updates of the target registry from the feed of announcements."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import evolve
from result import Err, Ok

from loomyard_router.feeds.record_consumer import PEER, STORE
from loomyard_router.feeds.unreadable_entry import decode_entry

if TYPE_CHECKING:
    from collections.abc import Callable

    from result import Result

    from loomyard_router.announced.announced_target import AnnouncedTarget
    from loomyard_router.announced.target_registry import TargetRegistry
    from loomyard_router.feeds.keyed_record import KeyedRecord
    from loomyard_router.feeds.unreadable_entries import UnreadableEntries
    from loomyard_router.feeds.unreadable_entry import UnreadableEntry

    Decoder = Callable[[str, bytes], Result[AnnouncedTarget, UnreadableEntry]]

FEED = "targets"


class TargetFeed:
    """The consumer of the records that announce targets.

    An unreadable entry withdraws its target, even if an earlier entry of the key was readable.
    """

    def __init__(
        self, registry: TargetRegistry, decode: Decoder, unreadable: UnreadableEntries
    ) -> None:
        self._registry = registry
        self._decode = decode
        self._unreadable = unreadable

    def apply_listing(self, records: list[KeyedRecord], source: str) -> None:
        targets, withdrawn = self._decode_all(records)
        # First, so that they don't count towards a mass loss of their service's entries.
        self._registry.withdraw(withdrawn)
        self._registry.replace_all(targets, by_peer=source == PEER)

    def apply_records(self, records: list[KeyedRecord], source: str = STORE) -> None:
        newest = {record.key: record for record in records}
        dropped = [record.key for record in newest.values() if record.value is None]
        targets, withdrawn = self._decode_all(list(newest.values()))
        self._registry.withdraw(withdrawn)
        self._registry.apply(targets, dropped, by_peer=source == PEER)

    def on_store_lost(self) -> None:
        self._registry.on_store_lost()

    def on_store_recovered(self) -> None:
        self._registry.on_store_recovered()

    def _decode_all(self, records: list[KeyedRecord]) -> tuple[list[AnnouncedTarget], list[str]]:
        """Return the decoded targets and the keys of unreadable entries."""
        targets, unreadable = [], []
        for record in records:
            if record.value is None:
                continue
            match decode_entry(self._decode, record.key, record.value):
                case Ok(target):
                    targets.append(evolve(target, position=record.position))
                case Err(entry):
                    self._unreadable.report(FEED, record.key, record.position, entry)
                    unreadable.append(record.key)
        return targets, unreadable
