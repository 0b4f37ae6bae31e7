"""An HTTP client of the platform's store over one connection."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import urlencode

from attrs import frozen
from gevent import Timeout
from result import Err, Ok, Result

from loomyard.errors import Fault, ResultCode
from loomyard.util.addresses import split_address
from loomyard.util.tcp import make_http_client
from loomyard_router.feeds.feed import MAX_IDLE_SECONDS
from loomyard_router.memory.shortages import note_shortage
from loomyard_router.platform import names

if TYPE_CHECKING:
    from collections.abc import Mapping

    from geventhttpclient import HTTPClient

    from loomyard.clock import Clock
    from loomyard_router.feeds.store_era import StoreEra

HTTP_OK = 200
CONNECT_SECONDS = 0.5
MIN_CALL_SECONDS = 0.05
# A longer number is ignored as invalid: no store is rolled back a million times, and routers send
# each other the era as a number of bounded size.
MAX_ERA_DIGITS = 6


@frozen
class StoreAnswer:
    """A complete answer, with the era of the store when it answered."""

    status: int
    body: bytes
    era: int = 0


class StoreClient:
    """Make one call at a time; a connection on which an answer was lost is closed.

    Each answer, also a refusal, updates the newest known era of the store. An answer of an earlier
    era comes from an outdated copy and is an error.
    """

    def __init__(self, address: str, clock: Clock, era: StoreEra) -> None:
        self._era = era
        self._host, self._port = split_address(address)
        self._clock = clock
        self._client: HTTPClient | None = None
        self._used_at = clock.now()

    def get(
        self, path: str, query: Mapping[str, object], deadline: float
    ) -> Result[StoreAnswer, Fault]:
        """Send a read. Error: ``LOG_UNAVAILABLE``, by the deadline at the latest."""
        return self._call("GET", path, query, b"", deadline)

    def post(
        self, path: str, query: Mapping[str, object], body: bytes, deadline: float
    ) -> Result[StoreAnswer, Fault]:
        """Send a write; after an error, the same as of ``get``, it may still have been applied."""
        return self._call("POST", path, query, body, deadline)

    def _call(
        self, method: str, path: str, query: Mapping[str, object], content: bytes, deadline: float
    ) -> Result[StoreAnswer, Fault]:
        if self._clock.now() - self._used_at > MAX_IDLE_SECONDS:
            self._close()
        if self._client is None:
            self._client = make_http_client(
                self._host,
                self._port,
                concurrency=1,
                connection_timeout=CONNECT_SECONDS,
                network_timeout=None,
            )
        # The HTTP client could only bound single waits; this bounds the whole call.
        timeout = Timeout(max(MIN_CALL_SECONDS, deadline - self._clock.now()))
        try:
            with timeout:
                response = self._client.request(method, f"{path}?{urlencode(query)}", body=content)
                body = bytes(response.read())
            status = response.status_code
            era_header = response.get(names.STORE_ERA)
            complete = response.message_complete
            self._used_at = self._clock.now()
        except Timeout as expired:
            if expired is not timeout:
                raise
            self._close()
            return Err(unavailable("no answer in time"))
        except Exception as error:  # the HTTP client raises many types on a broken connection
            note_shortage(error)
            self._close()
            return Err(unavailable(str(error) or type(error).__name__))
        if not complete:
            self._close()
            return Err(unavailable("the answer is incomplete"))
        era = parse_era(era_header)
        if era is None:
            # A store that sends no era is never rolled back.
            return Ok(StoreAnswer(status, body, self._era.newest))
        if not self._era.accept(era):
            return Err(unavailable(f"stale answer: the store is past era {era}"))
        return Ok(StoreAnswer(status, body, era))

    def _close(self) -> None:
        client, self._client = self._client, None
        if client is not None:
            client.close()


def parse_era(text: object) -> int | None:
    """Parse the era header of an answer; ``None`` if it is absent or invalid."""
    # The HTTP client returns a list for a repeated header.
    if (
        not isinstance(text, str)
        or not (text.isascii() and text.isdigit())
        or len(text) > MAX_ERA_DIGITS
    ):
        return None
    return int(text)


def unavailable(detail: str) -> Fault:
    """Make the ``LOG_UNAVAILABLE`` fault of a store that failed, refused or did not answer."""
    return Fault(code=ResultCode.LOG_UNAVAILABLE, detail=detail)
