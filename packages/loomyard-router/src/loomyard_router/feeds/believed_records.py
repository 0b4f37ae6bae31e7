"""What a router believes of a feed: what the store says, and what it said before a loss."""

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

# Earlier records of keys by which a copy is known again. A copy is some seconds old, and a fleet of
# 600 targets writes some hundred records in them.
MOST_EARLIER = 4096
MILLISECONDS = 1000


@frozen
class HeldRecord:
    """A record of before a loss that is still believed, for so many milliseconds more."""

    record: KeyedRecord
    left: int


@frozen
class Loss:
    """What a listing after a loss lacked, or had older, by key."""

    before: FeedPosition
    after: FeedPosition
    lacked: tuple[str, ...]
    older: tuple[str, ...]


@frozen
class _Held:
    record: KeyedRecord
    until: float


class BelievedRecords:
    """Keep records by key; after a loss hold those of before that the policy lets stand."""

    def __init__(self, clock: Clock, policy: RollbackPolicy) -> None:
        self._clock = clock
        self._policy = policy
        self._position = NO_POSITION
        # From here on each key that was dropped is remembered.
        self._complete_from = NO_POSITION
        self._said: dict[str, KeyedRecord] = {}
        self._held: dict[str, _Held] = {}
        # Records that later ones replaced, by key, offset and the hash of their value, which may be
        # long; and the last word on keys that were dropped.
        self._earlier: OrderedDict[tuple[str, int, int], None] = OrderedDict()
        self._dropped: OrderedDict[str, KeyedRecord] = OrderedDict()

    @property
    def said(self) -> list[KeyedRecord]:
        """Return what the store says: the newest record of each key."""
        return list(self._said.values())

    @property
    def held(self) -> list[HeldRecord]:
        """Return what stands against the store, for other routers."""
        now = self._clock.now()
        left = [(one.record, int((one.until - now) * MILLISECONDS)) for one in self._held.values()]
        return [
            HeldRecord(record, milliseconds) for record, milliseconds in left if milliseconds > 0
        ]

    @property
    def believed(self) -> list[KeyedRecord]:
        """Return the newest record of each key that is believed."""
        believed = dict(self._said)
        for key, held in self._held.items():
            if held.record.value is None:
                believed.pop(key, None)
            else:
                believed[key] = held.record
        return list(believed.values())

    def changes_since(self, position: FeedPosition) -> list[KeyedRecord] | None:
        """Return what changed since a position, ``None`` where that is not known any more."""
        if position.era != self._position.era or position < self._complete_from:
            return None
        changes = [*self._said.values(), *self._dropped.values()]
        changes = [record for record in changes if record.position >= position]
        return sorted(changes, key=lambda record: record.offset)

    def replace(
        self, records: Iterable[KeyedRecord], position: FeedPosition, told: Iterable[HeldRecord]
    ) -> Loss | None:
        """Take a whole listing over, and what another router holds; return a loss it shows."""
        said = {record.key: self._recall(record) for record in records}
        loss = None
        if self._position.era != position.era or self._complete_from is NO_POSITION:
            self._complete_from = position
        if self._position is not NO_POSITION and position.era > self._position.era:
            loss = self._hold(said, position)
        else:
            self._note_replaced(said, position)
        before, self._said, self._position = self._said, said, position
        for key, held in list(self._held.items()):
            changed = before.get(key) is not said.get(key)
            if loss is None and changed and not self._stands(held.record, said.get(key)):
                del self._held[key]
        self._take_told(told)
        return loss

    def read_on(self, records: Iterable[KeyedRecord], position: FeedPosition) -> list[KeyedRecord]:
        """Take changes over; return those that change what is believed."""
        self._position = position
        changes = []
        for record in records:
            self._put(record)
            held = self._held.get(record.key)
            if held is None or not self._policy.retains(held.record, record, stale=False):
                self._held.pop(record.key, None)
                changes.append(record)
        return changes

    def expire(self) -> list[KeyedRecord]:
        """End what was held for long enough; return what is believed from now on."""
        now = self._clock.now()
        over = [key for key, held in self._held.items() if held.until <= now]
        changes = []
        for key in over:
            held = self._held.pop(key)
            dropped = evolve(held.record, value=None)
            if held.record.value is not None and key not in self._said:
                self._note_dropped(dropped)
            changes.append(self._said.get(key, dropped))
        return changes

    def postpone(self) -> None:
        """Give what is held its whole time again: nobody could write meanwhile."""
        now = self._clock.now()
        for key, held in self._held.items():
            until = now + self._policy.retention_seconds(held.record)
            self._held[key] = _Held(held.record, until)

    def _hold(self, said: dict[str, KeyedRecord], position: FeedPosition) -> Loss:
        """Choose for each key between what was believed and what an older copy says."""
        now = self._clock.now()
        believed = {**self._dropped, **{record.key: record for record in self.believed}}
        believed |= {key: held.record for key, held in self._held.items()}
        lacked: list[str] = []
        older: list[str] = []
        held: dict[str, _Held] = {}
        for key, record in believed.items():
            new = said.get(key)
            if new is record:
                continue
            copied = new is None or self._is_earlier(new)
            if record.value is not None and copied:
                (lacked if new is None else older).append(key)
            if self._policy.retains(record, new, stale=copied):
                held[key] = _Held(record, now + self._policy.retention_seconds(record))
        self._held = held
        return Loss(self._position, position, tuple(lacked), tuple(older))

    def _take_told(self, told: Iterable[HeldRecord]) -> None:
        """Hold what another router holds, where this one knows nothing of the key that is newer."""
        now = self._clock.now()
        for one in told:
            record = one.record
            until = now + min(one.left / MILLISECONDS, self._policy.retention_seconds(record))
            if record.key not in self._held and self._stands(record, self._said.get(record.key)):
                self._held[record.key] = _Held(record, until)

    def _stands(self, believed: KeyedRecord, said: KeyedRecord | None) -> bool:
        copied = said is None or self._is_earlier(said) or said.era < self._position.era
        return self._policy.retains(believed, said, stale=copied)

    def _recall(self, record: KeyedRecord) -> KeyedRecord:
        """Return the record itself where it is known already, also across a loss."""
        known = self._said.get(record.key)
        if known is not None and (known.offset, known.value) == (record.offset, record.value):
            return known
        return record

    def _is_earlier(self, record: KeyedRecord) -> bool:
        return (record.key, record.offset, hash(record.value)) in self._earlier

    def _note_replaced(self, said: dict[str, KeyedRecord], position: FeedPosition) -> None:
        for key, record in self._said.items():
            if said.get(key) is record:
                continue
            self._note_earlier(record)
            if key not in said:
                self._note_dropped(
                    evolve(record, value=None, offset=position.offset, era=position.era)
                )
        for key in said:
            self._dropped.pop(key, None)

    def _put(self, record: KeyedRecord) -> None:
        known = self._said.pop(record.key, None)
        if known is not None:
            self._note_earlier(known)
        if record.value is None:
            self._note_dropped(record)
        else:
            self._dropped.pop(record.key, None)
            self._said[record.key] = record

    def _note_earlier(self, record: KeyedRecord) -> None:
        self._earlier[record.key, record.offset, hash(record.value)] = None
        if len(self._earlier) > MOST_EARLIER:
            self._earlier.popitem(last=False)

    def _note_dropped(self, record: KeyedRecord) -> None:
        self._dropped[record.key] = record
        self._dropped.move_to_end(record.key)
        if len(self._dropped) > MOST_EARLIER:
            _, forgotten = self._dropped.popitem(last=False)
            after = FeedPosition(forgotten.era, forgotten.offset + 1)
            self._complete_from = max(self._complete_from, after)
