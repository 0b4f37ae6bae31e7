"""The data centres that operators have emptied: their targets get no new work."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from loomyard.events import Event, emit
from loomyard_router.feeds.record_consumer import STORE

if TYPE_CHECKING:
    from collections.abc import Callable

    from loomyard_router.feeds.feed_position import FeedPosition
    from loomyard_router.feeds.keyed_record import KeyedRecord

logger = logging.getLogger(__name__)


class EvacuatedDataCentres:
    """The taker of records by which operators empty a data centre and take it back.

    ``find_name`` returns the data centre that a key empties, ``None`` for any other key. The order
    stands as long as its record does, whatever that holds: work sent to an emptied data centre
    can't be taken back, work kept from one that is not costs only its part of the capacity.
    """

    def __init__(self, find_name: Callable[[str], str | None]) -> None:
        self._find_name = find_name
        self._positions: dict[str, FeedPosition] = {}
        self._listeners: list[Callable[[frozenset[str]], None]] = []

    @property
    def names(self) -> frozenset[str]:
        return frozenset(self._positions)

    def subscribe(self, changed: Callable[[frozenset[str]], None]) -> None:
        """Call back with all emptied data centres after each change."""
        self._listeners.append(changed)

    def apply_listing(self, records: list[KeyedRecord], source: str) -> None:
        self._replace(self._follow({}, records))

    def apply_records(self, records: list[KeyedRecord], source: str = STORE) -> None:
        self._replace(self._follow(self._positions, records))

    def on_store_lost(self) -> None:
        pass

    def on_store_recovered(self) -> None:
        pass

    def _follow(
        self, before: dict[str, FeedPosition], records: list[KeyedRecord]
    ) -> dict[str, FeedPosition]:
        """Return the orders that stand after some records, with their positions."""
        positions = dict(before)
        for record in records:
            name = self._find_name(record.key)
            if name is not None and record.value is None:
                positions.pop(name, None)
            elif name is not None:
                positions[name] = record.position
        return positions

    def _replace(self, positions: dict[str, FeedPosition]) -> None:
        before, self._positions = self._positions, positions
        for name in positions.keys() - before.keys():
            _tell(Event.DATA_CENTRE_EMPTIED, name, positions[name])
        for name in before.keys() - positions.keys():
            _tell(Event.DATA_CENTRE_TAKEN_BACK, name, before[name])
        if before.keys() != positions.keys():
            for changed in self._listeners:
                changed(self.names)


def _tell(event: Event, name: str, position: FeedPosition) -> None:
    emit(logger, event, data_centre=name, era=position.era, offset=position.offset)
