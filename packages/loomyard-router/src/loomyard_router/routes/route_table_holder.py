"""The route table in force."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from attrs import frozen
from result import Err, Ok, Result

from loomyard.events import Event, emit
from loomyard_router.feeds.unreadable_entry import decode_entry
from loomyard_router.routes.caller_limits import CallerLimits
from loomyard_router.supervision.listeners import Listeners

if TYPE_CHECKING:
    from collections.abc import Callable

    from loomyard_router.feeds.unreadable_entry import UnreadableEntry
    from loomyard_router.routes.route_table import RouteTable

    Decoder = Callable[[bytes], Result[RouteTable, UnreadableEntry]]

logger = logging.getLogger(__name__)


@frozen(kw_only=True)
class TableDocument:
    """The encoded configuration as it was published, to be sent to other routers."""

    version: int
    data: bytes


class RouteTableHolder:
    """Holds the newest version received from any source; an older one never replaces it."""

    def __init__(self, decode: Decoder) -> None:
        self._decode = decode
        self._table: RouteTable | None = None
        self._document: TableDocument | None = None
        self._listeners = Listeners("configuration")

    @property
    def table(self) -> RouteTable | None:
        return self._table

    @property
    def document(self) -> TableDocument | None:
        return self._document

    @property
    def version(self) -> int:
        """Return the version in force, or -1 if there is none."""
        return -1 if self._table is None else self._table.version

    def caller_limits(self) -> CallerLimits:
        """Return the limits on callers that are in force, the defaults without a configuration."""
        return CallerLimits() if self._table is None else self._table.limits

    def subscribe(self, changed: Callable[[RouteTable], None]) -> None:
        """Register a callback for each version that comes into force."""
        self._listeners.subscribe(changed)

    def offer(self, data: bytes, source: str) -> Result[bool, UnreadableEntry]:
        """Put a published document in force if it is newer; return whether it is now in force.

        Error: the reason why the document can't be decoded; the version in force stays.
        """
        decoded = decode_entry(self._decode, data)
        if decoded.is_err():
            return Err(decoded.unwrap_err())
        table = decoded.unwrap()
        if table.version <= self.version:
            if table.version < self.version:
                emit(
                    logger,
                    Event.TABLE_IGNORED,
                    source=source,
                    version=table.version,
                    in_force=self.version,
                )
            return Ok(False)
        previous = self.version
        self._table = table
        self._document = TableDocument(version=table.version, data=data)
        emit(
            logger,
            Event.TABLE_ADOPTED,
            source=source,
            version=table.version,
            before=previous,
            routes=table.route_count,
            tokens_per_second=table.limits.tokens_per_second,
        )
        self._listeners.notify(table)
        return Ok(True)
