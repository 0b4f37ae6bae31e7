"""The data centres that operators have emptied: their targets get no new work."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from loomyard.events import Event, emit

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

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
        self._replace(self._find_orders(records))

    def take_records(self, records: list[KeyedRecord]) -> None:
        offsets = dict(self._offsets)
        for record in records:
            name = self._find_name(record.key)
            if name is not None and record.value is None:
                offsets.pop(name, None)
        self._replace(offsets | self._find_orders(records))

    def note_lost(self) -> None:
        pass

    def note_regained(self) -> None:
        pass

    def _find_orders(self, records: Iterable[KeyedRecord]) -> dict[str, int]:
        newest = {record.key: record for record in records}
        orders = {}
        for key, record in newest.items():
            name = self._find_name(key)
            if name is not None and record.value is not None:
                orders[name] = record.offset
        return orders

    def _replace(self, offsets: dict[str, int]) -> None:
        before, self._offsets = self._offsets, offsets
        for name in offsets.keys() - before.keys():
            emit(logger, Event.DATA_CENTRE_EMPTIED, data_centre=name, offset=offsets[name])
        for name in before.keys() - offsets.keys():
            emit(logger, Event.DATA_CENTRE_TAKEN_BACK, data_centre=name, offset=before[name])
        if before.keys() != offsets.keys():
            for changed in self._listeners:
                changed(self.names)
