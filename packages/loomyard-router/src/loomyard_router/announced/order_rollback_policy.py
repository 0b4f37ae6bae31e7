"""Which operators' records survive a rollback of the store to an older copy."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from loomyard_router.feeds.keyed_record import KeyedRecord

# For how long an evacuation order or configuration holds that is not written again. The store tells
# its writer of the rollback, and the record is written again within seconds. Evacuating too long
# costs only capacity, whereas requests sent to an evacuated data centre can't be recalled.
ORDER_RETENTION_SECONDS = 10.0
# For how long a data centre stays reinstated although a stale record evacuates it. The record may
# have been written anew, and an order must take effect within five seconds.
REINSTATED_RETENTION_SECONDS = 3.0


class OrderRollbackPolicy:
    """The ``RollbackPolicy`` of configurations and evacuation orders.

    A configuration holds until one is written, whatever its version; a stale one never replaces it.
    An order holds even against a new deletion, since lost records may be written again in another
    sequence. A reinstated data centre stays so against stale orders.
    """

    def __init__(self, find_data_centre: Callable[[str], str | None]) -> None:
        self._find_data_centre = find_data_centre

    def retains(self, known: KeyedRecord, stored: KeyedRecord | None, *, stale: bool) -> bool:
        if known.value is None:
            return stored is not None and stored.value is not None and stale
        if self._find_data_centre(known.key) is None:
            return stale
        return stored is None or stored.value is None

    def retention_seconds(self, known: KeyedRecord) -> float:
        return REINSTATED_RETENTION_SECONDS if known.value is None else ORDER_RETENTION_SECONDS
