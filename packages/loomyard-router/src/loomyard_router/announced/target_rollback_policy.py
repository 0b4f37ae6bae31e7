"""What is believed of targets when the store comes back from an older copy."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Ok

if TYPE_CHECKING:
    from collections.abc import Callable

    from result import Result

    from loomyard_router.announced.announced_target import AnnouncedTarget
    from loomyard_router.feeds.keyed_record import KeyedRecord
    from loomyard_router.feeds.unreadable_entry import UnreadableEntry

# Targets announce themselves anew within two seconds of the store's return, the users say; one
# second more is for the way to here.
ANNOUNCED_SECONDS = 3.0


class TargetRollbackPolicy:
    """The policy for announcements.

    A target that the copy lacks stays in use while it answers. One that leaves goes on leaving,
    whatever the copy or a record written again says of the same life. One that ended does not
    return by the copy.
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
        before, after = self._read(known), self._read(stored)
        if before is None or after is None or before.incarnation != after.incarnation:
            return stale
        if before.draining != after.draining:
            return before.draining
        return stale

    def retention_seconds(self, known: KeyedRecord) -> float:
        return ANNOUNCED_SECONDS

    def _read(self, record: KeyedRecord) -> AnnouncedTarget | None:
        if record.value is None:
            return None
        match self._decode(record.key, record.value):
            case Ok(target):
                return target
        return None
