"""Which target announcements survive a rollback of the store to an older copy."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Ok

if TYPE_CHECKING:
    from collections.abc import Callable

    from result import Result

    from loomyard_router.announced.announced_target import AnnouncedTarget
    from loomyard_router.feeds.keyed_record import KeyedRecord
    from loomyard_router.feeds.unreadable_entry import UnreadableEntry

# Targets are specified to announce themselves again within two seconds after the store returns;
# one more second is for the feed.
RETENTION_SECONDS = 3.0


class TargetRollbackPolicy:
    """The ``RollbackPolicy`` of announcements.

    A target that the store lacks stays in use for the retention time. A draining one stays so
    whatever a stale or rewritten record says of the same incarnation. One whose entry was deleted
    does not return by a stale record.
    """

    def __init__(
        self, decode: Callable[[str, bytes], Result[AnnouncedTarget, UnreadableEntry]]
    ) -> None:
        self._decode = decode

    def retains(self, known: KeyedRecord, stored: KeyedRecord | None, *, stale: bool) -> bool:
        if known.value is None:
            return stored is not None and stored.value is not None and stale
        if stored is None:
            return True
        if stored.value is None:
            return False
        before, after = self._decode_record(known), self._decode_record(stored)
        if before is None or after is None or before.incarnation != after.incarnation:
            return stale
        if before.draining != after.draining:
            return before.draining
        return stale

    def retention_seconds(self, known: KeyedRecord) -> float:
        return RETENTION_SECONDS

    def _decode_record(self, record: KeyedRecord) -> AnnouncedTarget | None:
        if record.value is None:
            return None
        match self._decode(record.key, record.value):
            case Ok(target):
                return target
        return None
