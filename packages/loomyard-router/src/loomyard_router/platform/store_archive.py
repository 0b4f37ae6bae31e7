"""An archive of crash records in a keyed topic of the platform's store."""

from __future__ import annotations

import struct
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from loomyard_router.platform.store_client import HTTP_OK, StoreClient, unavailable
from loomyard_router.platform.store_feed import StoreFeed

if TYPE_CHECKING:
    from collections.abc import Mapping

    from loomyard.clock import Clock
    from loomyard.errors import Fault
    from loomyard_router.feeds.store_era import StoreEra

_RECORD_LENGTH = struct.Struct(">I")


class StoreArchive:
    """The ``CrashArchive`` of the platform: the newest record of each key of a keyed topic."""

    def __init__(self, address: str, topic: str, clock: Clock, era: StoreEra) -> None:
        self._topic = topic
        self._era = era
        self._feed = StoreFeed(address, topic, clock, era)
        self._client = StoreClient(address, clock, era)

    @property
    def era(self) -> int:
        return self._era.newest

    def read(self, deadline: float) -> Result[Mapping[str, bytes], Fault]:
        return self._feed.fetch_listing(deadline).map(
            lambda listing: {
                record.key: record.value for record in listing.records if record.value is not None
            }
        )

    def write(self, key: str, value: bytes | None, deadline: float) -> Result[None, Fault]:
        key_bytes = key.encode()
        content = bytes([len(key_bytes)]) + key_bytes + (value or b"")
        query = {"topic": self._topic, "part": 0}
        match self._client.post(
            "/log-append", query, _RECORD_LENGTH.pack(len(content)) + content, deadline
        ):
            case Err(fault):
                return Err(fault)
            case Ok(answer) if answer.status == HTTP_OK:
                return Ok(None)
            case Ok(answer):
                return Err(unavailable(f"status {answer.status}"))
        raise AssertionError("a result is a value or a fault")
