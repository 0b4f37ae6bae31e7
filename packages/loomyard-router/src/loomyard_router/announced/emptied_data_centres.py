"""The data centres that operators have emptied: their targets get no new work."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from loomyard.events import Event, emit

if TYPE_CHECKING:
    from collections.abc import Callable

    from loomyard_router.feeds.keyed_record import KeyedRecord

logger = logging.getLogger(__name__)


class EmptiedDataCentres:
    """The taker of records by which operators empty a data centre and take it back.

    ``find_name`` returns the data centre that a key empties, ``None`` for any other key. The order
    stands as long as its record does, whatever that holds: work sent to an emptied data centre
    can't be taken back, work kept from one that is not costs only its part of the capacity.
    """

    def __init__(self, find_name: Callable[[str], str | None]) -> None:
        self._find_name = find_name
        self._offsets: dict[str, int] = {}
        self._listeners: list[Callable[[frozenset[str]], None]] = []

    @property
    def names(self) -> frozenset[str]:
        return frozenset(self._offsets)

    def subscribe(self, changed: Callable[[frozenset[str]], None]) -> None:
        """Call back with all emptied data centres after each change."""
        self._listeners.append(changed)

    def take_listing(self, records: list[KeyedRecord], source: str) -> None:
        self._replace(self._follow({}, records))

    def take_records(self, records: list[KeyedRecord]) -> None:
        self._replace(self._follow(self._offsets, records))

    def note_lost(self) -> None:
        pass

    def note_regained(self) -> None:
        pass

    def _follow(self, before: dict[str, int], records: list[KeyedRecord]) -> dict[str, int]:
        """Return the orders that stand after some records, with their offsets."""
        offsets = dict(before)
        for record in records:
            name = self._find_name(record.key)
            if name is not None and record.value is None:
                offsets.pop(name, None)
            elif name is not None:
                offsets[name] = record.offset
        return offsets

    def _replace(self, offsets: dict[str, int]) -> None:
        before, self._offsets = self._offsets, offsets
        for name in offsets.keys() - before.keys():
            emit(logger, Event.DATA_CENTRE_EMPTIED, data_centre=name, offset=offsets[name])
        for name in before.keys() - offsets.keys():
            emit(logger, Event.DATA_CENTRE_TAKEN_BACK, data_centre=name, offset=before[name])
        if before.keys() != offsets.keys():
            for changed in self._listeners:
                changed(self.names)
