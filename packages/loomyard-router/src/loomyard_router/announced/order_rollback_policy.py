"""What is believed of operators' records when the store comes back from an older copy."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from loomyard_router.feeds.keyed_record import KeyedRecord

# How long an operator's order or configuration stands that is not written again. Whoever wrote it
# hears of the loss from the store and writes again within seconds; a data centre that stays emptied
# for so long costs its part of the capacity, work that is sent there can't be taken back.
ORDER_SECONDS = 10.0
# How long a data centre stays taken back though the copy says that it is emptied. Where that was
# ordered anew it must be heeded within five seconds, the bound of users on an order.
TAKEN_BACK_SECONDS = 3.0


class OrderRollbackPolicy:
    """The policy for configurations and for orders that empty data centres.

    A configuration stands until one is written, whichever version: an older one never replaces one
    that is in force. An order stands, also against the word that it was taken back, since lost
    records may be written again in another order. What was taken back stays so against the copy.
    """

    def __init__(self, find_name: Callable[[str], str | None]) -> None:
        self._find_name = find_name

    def retains(self, known: KeyedRecord, stored: KeyedRecord | None, *, stale: bool) -> bool:
        if known.value is None:
            return stored is not None and stored.value is not None and stale
        if self._find_name(known.key) is None:
            return stale
        return stored is None or stored.value is None

    def retention_seconds(self, known: KeyedRecord) -> float:
        return TAKEN_BACK_SECONDS if known.value is None else ORDER_SECONDS
