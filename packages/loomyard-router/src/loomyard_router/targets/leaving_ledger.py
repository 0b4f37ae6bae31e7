"""Who is leaving, from one kind of evidence and from what peers heard."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define

from loomyard_router.targets.leaving_record import LeavingRecord

if TYPE_CHECKING:
    from collections.abc import Callable

    from loomyard.clock import Clock

UNKNOWN = LeavingRecord(-1, 0, leaving=False)
MAX_HOLD_FACTOR = 8.0
# Gossip forgets items after some minutes; routers that start later must hear them too.
REPEAT_SECONDS = 60.0


@define(eq=False)
class _Entry:
    record: LeavingRecord = UNKNOWN
    last_leaving_at: float = float("-inf")
    hold_factor: float = 1.0
    told_at: float = float("-inf")


class LeavingLedger:
    """Learn "leaving" at once and "returned" only from evidence that outlasts its source's lag.

    ``hold`` is in seconds, longer than the source lags; each return that was wrong doubles it.
    ``expiry`` is in seconds without any evidence, ``None`` for never.
    """

    def __init__(
        self,
        clock: Clock,
        *,
        hold: float,
        expiry: float | None,
        changed: Callable[[str, LeavingRecord, bool], None],
    ) -> None:
        self._clock = clock
        self._hold = hold
        self._expiry = expiry
        self._changed = changed
        self._entries: dict[str, _Entry] = {}

    def is_leaving(self, name: str) -> bool:
        """Tell what is believed."""
        entry = self._entries.get(name)
        return entry is not None and entry.record.leaving

    def see_leaving(self, name: str, version: int = 0) -> None:
        """Take in evidence of this router that something is leaving."""
        entry = self._entries.setdefault(name, _Entry())
        if entry.record.leaving and entry.record.version >= version:
            entry.last_leaving_at = now = self._clock.now()
            if now - entry.told_at >= REPEAT_SECONDS:
                entry.told_at = now
                self._changed(name, entry.record, True)
            return
        self._learn_leaving(entry)
        self._conclude(name, entry, version, leaving=True)

    def see_live(self, name: str) -> None:
        """Take in evidence of this router that something is not leaving; it may be stale."""
        entry = self._entries.get(name)
        if entry is None or not entry.record.leaving:
            return
        held = self._hold * entry.hold_factor
        if self._clock.now() - entry.last_leaving_at >= held:
            self._conclude(name, entry, entry.record.version, leaving=False)

    def hear(self, name: str, record: LeavingRecord) -> None:
        """Take in what a peer concluded."""
        entry = self._entries.setdefault(name, _Entry())
        if record <= entry.record:
            return
        was_leaving = entry.record.leaving
        if record.leaving and not was_leaving:
            self._learn_leaving(entry)
        entry.record = record
        if record.leaving != was_leaving:
            self._changed(name, record, False)

    def supersede(self, name: str, version: int) -> None:
        """Drop what was known before a new configuration of the object."""
        # Made also where nothing was known: late notices of before must not count afterwards.
        entry = self._entries.setdefault(name, _Entry())
        if entry.record.version < version:
            entry.record = LeavingRecord(version, 0, leaving=False)

    def expire(self, may_expire: Callable[[str], bool]) -> None:
        """Give up beliefs for which there has been no evidence for long.

        ``may_expire`` tells of what this router would have seen evidence.
        """
        if self._expiry is None:
            return
        now = self._clock.now()
        for name, entry in list(self._entries.items()):
            held = self._expiry * entry.hold_factor
            stale = entry.record.leaving and now - entry.last_leaving_at >= held
            if stale and may_expire(name):
                self._conclude(name, entry, entry.record.version, leaving=False)

    def retain(self, names: set[str], version: int) -> None:
        """Forget everything else but what peers know of a later configuration."""
        for name in self._entries.keys() - names:
            if self._entries[name].record.version <= version:
                del self._entries[name]

    def _learn_leaving(self, entry: _Entry) -> None:
        now = self._clock.now()
        if now - entry.last_leaving_at < self._hold * entry.hold_factor * MAX_HOLD_FACTOR:
            entry.hold_factor = min(2 * entry.hold_factor, MAX_HOLD_FACTOR)
        else:
            entry.hold_factor = 1.0
        entry.last_leaving_at = now

    def _conclude(self, name: str, entry: _Entry, version: int, *, leaving: bool) -> None:
        entry.record = entry.record.follow(version, leaving=leaving)
        entry.told_at = self._clock.now()
        self._changed(name, entry.record, True)
