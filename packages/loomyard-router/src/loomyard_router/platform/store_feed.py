"""A topic of the platform's store as a feed."""

from __future__ import annotations

import base64
import json
import struct
from typing import TYPE_CHECKING
from urllib.parse import urlencode

from gevent import Timeout
from result import Err, Ok, Result

from loomyard.errors import Fault, ResultCode
from loomyard.util.addresses import split_address
from loomyard.util.tcp import make_http_client
from loomyard_router.feeds.feed import ANSWER_SECONDS, Batch, Listing
from loomyard_router.feeds.keyed_record import KeyedRecord

if TYPE_CHECKING:
    from geventhttpclient import HTTPClient

    from loomyard.clock import Clock

HTTP_OK = 200
HTTP_GONE = 410
CONNECT_SECONDS = 0.5
LEAST_SECONDS = 0.05
MILLISECONDS = 1000
_ENDS = struct.Struct(">QQ")
_LENGTH = struct.Struct(">I")


class StoreFeed:
    """Read the only partition of a keyed topic over one connection."""

    def __init__(self, address: str, topic: str, clock: Clock) -> None:
        self._host, self._port = split_address(address)
        self._topic = topic
        self._clock = clock
        self._client: HTTPClient | None = None

    @property
    def name(self) -> str:
        return self._topic

    def newest(self, deadline: float) -> Result[Listing, Fault]:
        records: list[KeyedRecord] = []
        first_end: int | None = None
        after: str | None = None
        while True:
            query = {"topic": self._topic, "part": 0} | ({"after_rev": after} if after else {})
            body = self._get("/log-newest", query, deadline)
            if body.is_err():
                return Err(body.unwrap_err())
            try:
                page = json.loads(body.unwrap())
                items = page["items"]
                records += [_decode_item(item) for item in items]
                # The pages are no snapshot: what changed since the first is read again.
                first_end = int(page["end_offset"]) if first_end is None else first_end
                more = bool(page.get("truncated")) and bool(items)
                after = items[-1]["tls_key"] if more else None
            except (ValueError, KeyError, TypeError, RecursionError) as error:
                return Err(_unavailable(f"an unreadable listing: {error!r}"))
            if not more:
                return Ok(Listing(records=records, next_offset=first_end))

    def read(self, offset: int, wait_until: float) -> Result[Batch, Fault]:
        wait = max(0, int((wait_until - self._clock.now()) * MILLISECONDS))
        query = {"topic": self._topic, "part": 0, "from": offset, "wait_ms": wait}
        body = self._get("/log-read", query, wait_until + ANSWER_SECONDS)
        if body.is_err():
            return Err(body.unwrap_err())
        return _decode_batch(body.unwrap(), offset)

    def _get(self, path: str, query: dict, deadline: float) -> Result[bytes, Fault]:
        if self._client is None:
            self._client = make_http_client(
                self._host,
                self._port,
                concurrency=1,
                connection_timeout=CONNECT_SECONDS,
                network_timeout=None,
            )
        # The client bounds each wait; here the whole call has one deadline.
        timeout = Timeout(max(LEAST_SECONDS, deadline - self._clock.now()))
        try:
            with timeout:
                response = self._client.get(f"{path}?{urlencode(query)}")
                body = bytes(response.read())
            status = response.status_code
            whole = response.message_complete
        except Timeout as expired:
            if expired is not timeout:
                raise
            self._drop()
            return Err(_unavailable("no answer in time"))
        except Exception as error:  # the client raises many types on a broken connection
            self._drop()
            return Err(_unavailable(str(error) or type(error).__name__))
        if not whole:
            self._drop()
            return Err(_unavailable("the answer broke off"))
        if status == HTTP_GONE:
            return Err(Fault(code=ResultCode.LOG_TRIMMED, detail="the records are gone"))
        if status != HTTP_OK:
            return Err(_unavailable(f"status {status}"))
        return Ok(body)

    def _drop(self) -> None:
        client, self._client = self._client, None
        if client is not None:
            client.close()


def _decode_item(item: dict) -> KeyedRecord:
    value = base64.b64decode(item["value"]) if item.get("value") else None
    # The platform's field for a record's key is named after a key of TLS.
    return KeyedRecord(key=str(item["tls_key"]), value=value, offset=int(item["offset"]))


def _decode_batch(data: bytes, offset: int) -> Result[Batch, Fault]:
    records = []
    try:
        end, first = _ENDS.unpack_from(data)
        at = _ENDS.size
        offset = max(offset, first)
        while at < len(data):
            (length,) = _LENGTH.unpack_from(data, at)
            at += _LENGTH.size
            content = data[at : at + length]
            if len(content) < length:
                return Err(_unavailable("a record that is cut off"))
            at += length
            records.append(_decode_record(content, offset))
            offset += 1
    except struct.error as error:
        return Err(_unavailable(f"an unreadable batch: {error!r}"))
    # The end before the offset asked for says that the store fell back.
    return Ok(Batch(records=records, next_offset=min(offset, end)))


def _decode_record(content: bytes, offset: int) -> KeyedRecord:
    if not content:
        # Another writer may append anything; a record without a key says nothing.
        return KeyedRecord(key="", value=None, offset=offset)
    length = content[0]
    key = content[1 : 1 + length].decode(errors="replace")
    return KeyedRecord(key=key, value=content[1 + length :] or None, offset=offset)


def _unavailable(detail: str) -> Fault:
    return Fault(code=ResultCode.LOG_UNAVAILABLE, detail=detail)
