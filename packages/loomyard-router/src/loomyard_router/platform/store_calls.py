"""Calls to the platform's store over one connection."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import urlencode

from attrs import frozen
from gevent import Timeout
from result import Err, Ok, Result

from loomyard.errors import Fault, ResultCode
from loomyard.util.addresses import split_address
from loomyard.util.tcp import make_http_client
from loomyard_router.platform import names

if TYPE_CHECKING:
    from collections.abc import Mapping

    from geventhttpclient import HTTPClient

    from loomyard.clock import Clock
    from loomyard_router.feeds.store_era import StoreEra

HTTP_OK = 200
CONNECT_SECONDS = 0.5
LEAST_SECONDS = 0.05
# A store would lose writes a million times first; more would not travel as one number.
MOST_ERA_DIGITS = 6


@frozen
class StoreAnswer:
    """An answer that came whole, and the era of the store that gave it."""

    status: int
    body: bytes
    era: int = 0


class StoreCalls:
    """Make one call after the other; a connection of which an answer was lost is not used again.

    Each answer tells ``era`` of the store's, also a refusal; one of an earlier era than the newest
    that was heard of is none.
    """

    def __init__(self, address: str, clock: Clock, era: StoreEra) -> None:
        self._era = era
        self._host, self._port = split_address(address)
        self._clock = clock
        self._client: HTTPClient | None = None

    def get(
        self, path: str, query: Mapping[str, object], deadline: float
    ) -> Result[StoreAnswer, Fault]:
        """Read. Error: ``LOG_UNAVAILABLE``, at the deadline at the latest."""
        return self._call("GET", path, query, b"", deadline)

    def post(
        self, path: str, query: Mapping[str, object], body: bytes, deadline: float
    ) -> Result[StoreAnswer, Fault]:
        """Write; it may have been done after an error, as those of ``get``."""
        return self._call("POST", path, query, body, deadline)

    def _call(
        self, method: str, path: str, query: Mapping[str, object], sent: bytes, deadline: float
    ) -> Result[StoreAnswer, Fault]:
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
                response = self._client.request(method, f"{path}?{urlencode(query)}", body=sent)
                body = bytes(response.read())
            status = response.status_code
            told = response.get(names.STORE_ERA)
            whole = response.message_complete
        except Timeout as expired:
            if expired is not timeout:
                raise
            self._drop()
            return Err(unavailable("no answer in time"))
        except Exception as error:  # the client raises many types on a broken connection
            self._drop()
            return Err(unavailable(str(error) or type(error).__name__))
        if not whole:
            self._drop()
            return Err(unavailable("the answer broke off"))
        era = read_era(told)
        if era is None:
            # A store that tells none has one for ever.
            return Ok(StoreAnswer(status, body, self._era.newest))
        if not self._era.accept(era):
            return Err(unavailable(f"an answer of era {era}, which is over"))
        return Ok(StoreAnswer(status, body, era))

    def _drop(self) -> None:
        client, self._client = self._client, None
        if client is not None:
            client.close()


def read_era(text: object) -> int | None:
    """Read the era that an answer tells, ``None`` where it tells none that can be read."""
    # The client gives a list where a header comes more than once.
    if (
        not isinstance(text, str)
        or not (text.isascii() and text.isdigit())
        or len(text) > MOST_ERA_DIGITS
    ):
        return None
    return int(text)


def unavailable(detail: str) -> Fault:
    """Make the fault of a store that did not do what was asked."""
    return Fault(code=ResultCode.LOG_UNAVAILABLE, detail=detail)
