"""A feed that reads a keyed topic of the platform's store."""

from __future__ import annotations

import base64
import json
import struct
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from loomyard.errors import Fault, ResultCode
from loomyard_router.feeds.feed import ANSWER_MARGIN_SECONDS, Batch, Listing
from loomyard_router.feeds.feed_position import FeedPosition
from loomyard_router.feeds.keyed_record import KeyedRecord
from loomyard_router.platform.store_client import HTTP_OK, StoreAnswer, StoreClient, unavailable

if TYPE_CHECKING:
    from loomyard.clock import Clock
    from loomyard_router.feeds.store_era import StoreEra

HTTP_GONE = 410
MILLISECONDS = 1000
# A batch begins with the end offset of the topic and the offset of the first record.
_BATCH_HEAD = struct.Struct(">QQ")
_RECORD_LENGTH = struct.Struct(">I")


class StoreFeed:
    """Read the only partition of a keyed topic over one connection."""

    def __init__(self, address: str, topic: str, clock: Clock, era: StoreEra) -> None:
        self._client = StoreClient(address, clock, era)
        self._topic = topic
        self._clock = clock

    @property
    def name(self) -> str:
        return self._topic

    def fetch_listing(self, deadline: float) -> Result[Listing, Fault]:
        records: list[KeyedRecord] = []
        first_end: FeedPosition | None = None
        after: str | None = None
        while True:
            query = {"topic": self._topic, "part": 0} | ({"after_rev": after} if after else {})
            answer = self._get("/log-newest", query, deadline)
            if answer.is_err():
                return Err(answer.unwrap_err())
            era = answer.unwrap().era
            if first_end is not None and era != first_end.era:
                return Err(unavailable("the era of the store changed between pages of a listing"))
            try:
                page = json.loads(answer.unwrap().body)
                items = page["items"]
                records += [_decode_item(item, era) for item in items]
                # Pages are no snapshot. Changes since the first are read from its end offset on.
                first_end = first_end or FeedPosition(era, int(page["end_offset"]))
                more = bool(page.get("truncated")) and bool(items)
                after = items[-1]["tls_key"] if more else None
            except (ValueError, KeyError, TypeError, RecursionError) as error:
                return Err(unavailable(f"unreadable listing: {error!r}"))
            if not more:
                return Ok(Listing(records=records, position=first_end))

    def read(self, offset: int, wait_until: float) -> Result[Batch, Fault]:
        wait = max(0, int((wait_until - self._clock.now()) * MILLISECONDS))
        query = {"topic": self._topic, "part": 0, "from": offset, "wait_ms": wait}
        answer = self._get("/log-read", query, wait_until + ANSWER_MARGIN_SECONDS)
        if answer.is_err():
            return Err(answer.unwrap_err())
        return _decode_batch(answer.unwrap().body, offset, answer.unwrap().era)

    def _get(self, path: str, query: dict, deadline: float) -> Result[StoreAnswer, Fault]:
        match self._client.get(path, query, deadline):
            case Err(fault):
                return Err(fault)
            case Ok(answer):
                pass
        if answer.status == HTTP_GONE:
            return Err(Fault(code=ResultCode.LOG_TRIMMED, detail="the records were trimmed"))
        if answer.status != HTTP_OK:
            return Err(unavailable(f"status {answer.status}"))
        return Ok(answer)


def _decode_item(item: dict, era: int) -> KeyedRecord:
    value = base64.b64decode(item["value"]) if item.get("value") else None
    # The platform calls the key of a record ``tls_key``; it has nothing to do with TLS.
    return KeyedRecord(key=str(item["tls_key"]), value=value, offset=int(item["offset"]), era=era)


def _decode_batch(data: bytes, offset: int, era: int) -> Result[Batch, Fault]:
    records = []
    try:
        end, first = _BATCH_HEAD.unpack_from(data)
        at = _BATCH_HEAD.size
        offset = max(offset, first)
        while at < len(data):
            (length,) = _RECORD_LENGTH.unpack_from(data, at)
            at += _RECORD_LENGTH.size
            content = data[at : at + length]
            if len(content) < length:
                return Err(unavailable("truncated record in a batch"))
            at += length
            records.append(_decode_record(content, offset, era))
            offset += 1
    except struct.error as error:
        return Err(unavailable(f"unreadable batch: {error!r}"))
    # An end below the requested offset shows the caller that the store was rolled back.
    return Ok(Batch(records=records, position=FeedPosition(era, min(offset, end))))


def _decode_record(content: bytes, offset: int, era: int) -> KeyedRecord:
    if not content:
        # Other writers may append anything; an empty record counts as one without a key.
        return KeyedRecord(key="", value=None, offset=offset, era=era)
    length = content[0]
    key = content[1 : 1 + length].decode(errors="replace")
    return KeyedRecord(key=key, value=content[1 + length :] or None, offset=offset, era=era)
