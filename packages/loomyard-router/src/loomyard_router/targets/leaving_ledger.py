"""Which objects of one kind (targets, VMs) are leaving, by own observations and by peers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define

from loomyard_router.targets.leaving_record import LeavingRecord

if TYPE_CHECKING:
    from collections.abc import Callable

    from loomyard.clock import Clock

UNKNOWN = LeavingRecord(-1, 0, leaving=False)
MAX_HOLD_FACTOR = 8.0
# Gossip items expire after some minutes; repeats reach routers that start later.
REPEAT_SECONDS = 60.0


@define(eq=False)
class _Entry:
    record: LeavingRecord = UNKNOWN
    last_leaving_at: float = float("-inf")
    hold_factor: float = 1.0
    published_at: float = float("-inf")


class LeavingLedger:
    """Leaving state by name: set at once, cleared only after the lag of its source has passed.

    ``hold`` (s) must exceed the lag of the source; it doubles after each return that proved wrong.
    ``expiry`` is the time (s) without observations after which "leaving" ends, ``None`` for never.
    ``changed`` is called with name, record and whether this router made the change.
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
        """Return whether an object is considered leaving."""
        entry = self._entries.get(name)
        return entry is not None and entry.record.leaving

    def record_leaving(self, name: str, version: int = 0) -> None:
        """Record an observation by this router that an object is leaving."""
        entry = self._entries.setdefault(name, _Entry())
        if entry.record.leaving and entry.record.version >= version:
            entry.last_leaving_at = now = self._clock.now()
            if now - entry.published_at >= REPEAT_SECONDS:
                entry.published_at = now
                self._changed(name, entry.record, True)
            return
        self._start_hold(entry)
        self._publish(name, entry, version, leaving=True)

    def record_live(self, name: str) -> None:
        """Record an observation by this router that an object is not leaving; it may be stale."""
        entry = self._entries.get(name)
        if entry is None or not entry.record.leaving:
            return
        held = self._hold * entry.hold_factor
        if self._clock.now() - entry.last_leaving_at >= held:
            self._publish(name, entry, entry.record.version, leaving=False)

    def apply_remote(self, name: str, record: LeavingRecord) -> None:
        """Apply a record of another router if it is newer."""
        entry = self._entries.setdefault(name, _Entry())
        if record <= entry.record:
            return
        was_leaving = entry.record.leaving
        if record.leaving and not was_leaving:
            self._start_hold(entry)
        entry.record = record
        if record.leaving != was_leaving:
            self._changed(name, record, False)

    def supersede(self, name: str, version: int) -> None:
        """Reset an object to not leaving if its configuration is newer than its record."""
        # Unknown objects get an entry too: it rejects late records of earlier configurations.
        entry = self._entries.setdefault(name, _Entry())
        if entry.record.version < version:
            entry.record = LeavingRecord(version, 0, leaving=False)

    def expire(self, may_expire: Callable[[str], bool]) -> None:
        """End the leaving state of objects that were not observed as leaving for ``expiry``.

        ``may_expire`` returns whether this router would have observed the object.
        """
        if self._expiry is None:
            return
        now = self._clock.now()
        for name, entry in list(self._entries.items()):
            held = self._expiry * entry.hold_factor
            stale = entry.record.leaving and now - entry.last_leaving_at >= held
            if stale and may_expire(name):
                self._publish(name, entry, entry.record.version, leaving=False)

    def retain(self, names: set[str], version: int) -> None:
        """Drop all other objects, except records of a configuration later than ``version``."""
        for name in self._entries.keys() - names:
            if self._entries[name].record.version <= version:
                del self._entries[name]

    def _start_hold(self, entry: _Entry) -> None:
        now = self._clock.now()
        if now - entry.last_leaving_at < self._hold * entry.hold_factor * MAX_HOLD_FACTOR:
            entry.hold_factor = min(2 * entry.hold_factor, MAX_HOLD_FACTOR)
        else:
            entry.hold_factor = 1.0
        entry.last_leaving_at = now

    def _publish(self, name: str, entry: _Entry, version: int, *, leaving: bool) -> None:
        entry.record = entry.record.successor(version, leaving=leaving)
        entry.published_at = self._clock.now()
        self._changed(name, entry.record, True)
