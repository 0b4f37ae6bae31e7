"""The records of a feed that a router acts on: those in the store, and overrides after a rollback.

A rollback is a store that came back from an older copy of itself, in a new era.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from attrs import evolve, frozen

from loomyard_router.feeds.feed_position import NO_POSITION, FeedPosition
from loomyard_router.feeds.keyed_record import KeyedRecord

if TYPE_CHECKING:
    from collections.abc import Iterable

    from loomyard.clock import Clock
    from loomyard_router.feeds.rollback_policy import RollbackPolicy

# Superseded records and deletions that are remembered, to recognize the records of an older copy.
# A copy is some seconds old, in which a fleet of 600 targets writes some hundred records.
MAX_REMEMBERED = 4096
MILLISECONDS = 1000


@frozen
class RetainedRecord:
    """A record of before a rollback that overrides the store for ``remaining_ms`` more."""

    record: KeyedRecord
    remaining_ms: int


@frozen
class Rollback:
    """Keys that are missing from a listing after a rollback, or have an older record in it."""

    before: FeedPosition
    after: FeedPosition
    missing: tuple[str, ...]
    outdated: tuple[str, ...]


@frozen
class _Retained:
    record: KeyedRecord
    until: float


class EffectiveRecords:
    """Keep the records of a feed by key; after a rollback retain those that the policy chooses."""

    def __init__(self, clock: Clock, policy: RollbackPolicy) -> None:
        self._clock = clock
        self._policy = policy
        self._position = NO_POSITION
        # Keys deleted at or after this position and not stored since are all in ``_deleted``.
        self._history_from = NO_POSITION
        self._stored: dict[str, KeyedRecord] = {}
        self._retained: dict[str, _Retained] = {}
        # Replaced records by key, offset and the hash of their value, which may be long.
        self._superseded: OrderedDict[tuple[str, int, int], None] = OrderedDict()
        # The deletion records of keys that are not stored.
        self._deleted: OrderedDict[str, KeyedRecord] = OrderedDict()

    @property
    def stored(self) -> list[KeyedRecord]:
        """Return the newest record of each key in the store."""
        return list(self._stored.values())

    @property
    def retained(self) -> list[RetainedRecord]:
        """Return the records that override the store, in the form sent to other routers."""
        now = self._clock.now()
        remaining = [
            (one.record, int((one.until - now) * MILLISECONDS)) for one in self._retained.values()
        ]
        return [
            RetainedRecord(record, milliseconds)
            for record, milliseconds in remaining
            if milliseconds > 0
        ]

    @property
    def effective(self) -> list[KeyedRecord]:
        """Return the record of each key that this router acts on."""
        effective = dict(self._stored)
        for key, retained in self._retained.items():
            if retained.record.value is None:
                effective.pop(key, None)
            else:
                effective[key] = retained.record
        return list(effective.values())

    def changes_since(self, position: FeedPosition) -> list[KeyedRecord] | None:
        """Return the changes since a position, ``None`` where they are no longer remembered."""
        if position.era != self._position.era or position < self._history_from:
            return None
        changes = [*self._stored.values(), *self._deleted.values()]
        changes = [record for record in changes if record.position >= position]
        return sorted(changes, key=lambda record: record.offset)

    def replace(
        self,
        records: Iterable[KeyedRecord],
        position: FeedPosition,
        peer_retained: Iterable[RetainedRecord],
    ) -> Rollback | None:
        """Replace all records by a listing; return the rollback that it reveals, if any.

        ``peer_retained`` are the records that another router retains.
        """
        stored = {record.key: self._reuse_known(record) for record in records}
        rollback = None
        if self._position.era != position.era or self._history_from is NO_POSITION:
            self._history_from = position
        if self._position is not NO_POSITION and position.era > self._position.era:
            rollback = self._retain_after_rollback(stored, position)
        else:
            self._remember_replaced(stored, position)
        before, self._stored, self._position = self._stored, stored, position
        for key, retained in list(self._retained.items()):
            changed = before.get(key) is not stored.get(key)
            if (
                rollback is None
                and changed
                and not self._overrides(retained.record, stored.get(key))
            ):
                del self._retained[key]
        self._adopt_retained(peer_retained)
        return rollback

    def apply_changes(
        self, records: Iterable[KeyedRecord], position: FeedPosition
    ) -> list[KeyedRecord]:
        """Apply changes in order; return those that take effect, that is, are not overridden."""
        self._position = position
        changes = []
        for record in records:
            self._store(record)
            retained = self._retained.get(record.key)
            if retained is None or not self._policy.retains(retained.record, record, stale=False):
                self._retained.pop(record.key, None)
                changes.append(record)
        return changes

    def expire(self) -> list[KeyedRecord]:
        """Drop expired overrides; return the records of their keys that take effect instead."""
        now = self._clock.now()
        expired = [key for key, retained in self._retained.items() if retained.until <= now]
        changes = []
        for key in expired:
            retained = self._retained.pop(key)
            deleted = evolve(retained.record, value=None)
            if retained.record.value is not None and key not in self._stored:
                self._remember_deleted(deleted)
            changes.append(self._stored.get(key, deleted))
        return changes

    def restart_retention(self) -> None:
        """Restart the retention period of all overrides, as no writer could reach the store."""
        now = self._clock.now()
        for key, retained in self._retained.items():
            until = now + self._policy.retention_seconds(retained.record)
            self._retained[key] = _Retained(retained.record, until)

    def _retain_after_rollback(
        self, stored: dict[str, KeyedRecord], position: FeedPosition
    ) -> Rollback:
        """Decide for each key whether the effective record overrides that of the older copy."""
        now = self._clock.now()
        effective = {**self._deleted, **{record.key: record for record in self.effective}}
        effective |= {key: retained.record for key, retained in self._retained.items()}
        missing: list[str] = []
        outdated: list[str] = []
        retained: dict[str, _Retained] = {}
        for key, record in effective.items():
            new = stored.get(key)
            if new is record:
                continue
            stale = new is None or self._is_superseded(new)
            if record.value is not None and stale:
                (missing if new is None else outdated).append(key)
            if self._policy.retains(record, new, stale=stale):
                retained[key] = _Retained(record, now + self._policy.retention_seconds(record))
        self._retained = retained
        return Rollback(self._position, position, tuple(missing), tuple(outdated))

    def _adopt_retained(self, peer_retained: Iterable[RetainedRecord]) -> None:
        """Retain what another router retains, except for keys with a newer record here."""
        now = self._clock.now()
        for one in peer_retained:
            record = one.record
            until = now + min(
                one.remaining_ms / MILLISECONDS, self._policy.retention_seconds(record)
            )
            if record.key not in self._retained and self._overrides(
                record, self._stored.get(record.key)
            ):
                self._retained[record.key] = _Retained(record, until)

    def _overrides(self, known: KeyedRecord, stored: KeyedRecord | None) -> bool:
        stale = stored is None or self._is_superseded(stored) or stored.era < self._position.era
        return self._policy.retains(known, stored, stale=stale)

    def _reuse_known(self, record: KeyedRecord) -> KeyedRecord:
        """Return the record object that is stored already where it is the same, in any era."""
        known = self._stored.get(record.key)
        if known is not None and (known.offset, known.value) == (record.offset, record.value):
            return known
        return record

    def _is_superseded(self, record: KeyedRecord) -> bool:
        return (record.key, record.offset, hash(record.value)) in self._superseded

    def _remember_replaced(self, stored: dict[str, KeyedRecord], position: FeedPosition) -> None:
        for key, record in self._stored.items():
            if stored.get(key) is record:
                continue
            self._remember_superseded(record)
            if key not in stored:
                self._remember_deleted(
                    evolve(record, value=None, offset=position.offset, era=position.era)
                )
        for key in stored:
            self._deleted.pop(key, None)

    def _store(self, record: KeyedRecord) -> None:
        known = self._stored.pop(record.key, None)
        if known is not None:
            self._remember_superseded(known)
        if record.value is None:
            self._remember_deleted(record)
        else:
            self._deleted.pop(record.key, None)
            self._stored[record.key] = record

    def _remember_superseded(self, record: KeyedRecord) -> None:
        self._superseded[record.key, record.offset, hash(record.value)] = None
        if len(self._superseded) > MAX_REMEMBERED:
            self._superseded.popitem(last=False)

    def _remember_deleted(self, record: KeyedRecord) -> None:
        self._deleted[record.key] = record
        self._deleted.move_to_end(record.key)
        if len(self._deleted) > MAX_REMEMBERED:
            _, forgotten = self._deleted.popitem(last=False)
            after = FeedPosition(forgotten.era, forgotten.offset + 1)
            self._history_from = max(self._history_from, after)
