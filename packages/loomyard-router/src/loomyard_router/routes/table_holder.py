"""The configuration in force."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from attrs import frozen
from result import Err, Ok, Result

from loomyard.events import Event, emit

if TYPE_CHECKING:
    from collections.abc import Callable

    from loomyard_router.feeds.unreadable_entry import UnreadableEntry
    from loomyard_router.routes.route_table import RouteTable

    Decoder = Callable[[bytes], Result[RouteTable, UnreadableEntry]]

logger = logging.getLogger(__name__)


@frozen(kw_only=True)
class TableDocument:
    """A version of the configuration as it was published, for other routers."""

    version: int
    data: bytes


class TableHolder:
    """Hold the newest version heard from anyone; an older one never replaces it."""

    def __init__(self, decode: Decoder) -> None:
        self._decode = decode
        self._table: RouteTable | None = None
        self._document: TableDocument | None = None
        self._listeners: list[Callable[[RouteTable], None]] = []

    @property
    def table(self) -> RouteTable | None:
        return self._table

    @property
    def document(self) -> TableDocument | None:
        return self._document

    @property
    def version(self) -> int:
        """Return the version in force, -1 before the first."""
        return -1 if self._table is None else self._table.version

    def subscribe(self, changed: Callable[[RouteTable], None]) -> None:
        """Call back with each version that comes into force."""
        self._listeners.append(changed)

    def offer(self, data: bytes, source: str) -> Result[bool, UnreadableEntry]:
        """Put a published document in force where it is newer; tell whether it is now.

        Of one that can't be read the version in force stays.
        """
        decoded = self._decode(data)
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
        before = self.version
        self._table = table
        self._document = TableDocument(version=table.version, data=data)
        emit(
            logger,
            Event.TABLE_ADOPTED,
            source=source,
            version=table.version,
            before=before,
            routes=table.route_count,
            tokens_per_second=table.limits.tokens_per_second,
        )
        for changed in self._listeners:
            changed(table)
        return Ok(True)
