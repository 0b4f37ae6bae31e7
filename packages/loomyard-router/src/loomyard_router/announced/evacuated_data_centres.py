"""The data centres that operators have evacuated: their targets get no new requests."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from loomyard.events import Event, emit
from loomyard_router.feeds.record_consumer import STORE
from loomyard_router.supervision.listeners import Listeners

if TYPE_CHECKING:
    from collections.abc import Callable

    from loomyard_router.feeds.feed_position import FeedPosition
    from loomyard_router.feeds.keyed_record import KeyedRecord

logger = logging.getLogger(__name__)


class EvacuatedDataCentres:
    """The consumer of the records by which operators evacuate and reinstate data centres.

    ``find_data_centre`` returns the data centre that a key evacuates, ``None`` for any other key.
    The order holds while its record exists, whatever the value: requests sent to an evacuated data
    centre can't be recalled, whereas a needless evacuation costs only capacity.
    """

    def __init__(self, find_data_centre: Callable[[str], str | None]) -> None:
        self._find_data_centre = find_data_centre
        self._positions: dict[str, FeedPosition] = {}
        self._listeners = Listeners("evacuations")

    @property
    def names(self) -> frozenset[str]:
        return frozenset(self._positions)

    def subscribe(self, changed: Callable[[frozenset[str]], None]) -> None:
        """Call back with all evacuated data centres after each change."""
        self._listeners.subscribe(changed)

    def apply_listing(self, records: list[KeyedRecord], source: str) -> None:
        self._replace(self._apply({}, records))

    def apply_records(self, records: list[KeyedRecord], source: str = STORE) -> None:
        self._replace(self._apply(self._positions, records))

    def on_store_lost(self) -> None:
        pass

    def on_store_recovered(self) -> None:
        pass

    def _apply(
        self, before: dict[str, FeedPosition], records: list[KeyedRecord]
    ) -> dict[str, FeedPosition]:
        """Return the feed positions of the orders in force after some records."""
        positions = dict(before)
        for record in records:
            name = self._find_data_centre(record.key)
            if name is not None and record.value is None:
                positions.pop(name, None)
            elif name is not None:
                positions[name] = record.position
        return positions

    def _replace(self, positions: dict[str, FeedPosition]) -> None:
        before, self._positions = self._positions, positions
        for name in positions.keys() - before.keys():
            _log_change(Event.DATA_CENTRE_EMPTIED, name, positions[name])
        for name in before.keys() - positions.keys():
            _log_change(Event.DATA_CENTRE_TAKEN_BACK, name, before[name])
        if before.keys() != positions.keys():
            self._listeners.notify(self.names)


def _log_change(event: Event, name: str, position: FeedPosition) -> None:
    emit(logger, event, data_centre=name, era=position.era, offset=position.offset)
