"""HTTP client of the weight store: ``POST /reservations/MODEL``."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from attrs import frozen
from result import Err, Ok, Result

from loomyard.codec import CODEC
from loomyard.errors import Fault, ResultCode
from loomyard.util.addresses import split_address
from loomyard.util.tcp import make_http_client

if TYPE_CHECKING:
    from loomyard.clock import Clock
    from loomyard.external.weight_store import WeightStore

CONNECT_TIMEOUT = 1.0
ANSWER_TIMEOUT = 2.0
DEFAULT_RETRY_AFTER_SECONDS = 5.0
MAX_RETRY_AFTER_SECONDS = 300.0
HTTP_OK = 200


@frozen(kw_only=True)
class Reservation:
    """The answer of the store: the seconds until a load may start."""

    wait_seconds: float


class HttpWeightStore:
    """Weight store client.

    A reservation whose answer was lost expires at the store; the caller makes another one later.
    """

    def __init__(self, clock: Clock, host: str, port: int) -> None:
        self._clock = clock
        self._client = make_http_client(
            host, port, connection_timeout=CONNECT_TIMEOUT, network_timeout=ANSWER_TIMEOUT
        )

    def reserve(self, model: str) -> Result[float, Fault]:
        """Return the monotonic time at which a load may start."""
        try:
            response = self._client.post(f"/reservations/{model}")
            body = bytes(response.read())
            if response.status_code != HTTP_OK:
                retry_after = float(str(response.get("retry-after") or DEFAULT_RETRY_AFTER_SECONDS))
                return Err(_limited(f"status {response.status_code}", retry_after))
            reservation = CODEC.structure(json.loads(body), Reservation)
        except Exception as error:  # sockets, JSON and conversion raise many types
            return Err(_limited(f"{type(error).__name__}: {error}", DEFAULT_RETRY_AFTER_SECONDS))
        return Ok(self._clock.now() + max(0.0, reservation.wait_seconds))


def connect_weight_store(address: str, clock: Clock) -> WeightStore:
    """Make a client of the weight store at ``host:port``."""
    return HttpWeightStore(clock, *split_address(address))


def _limited(detail: str, retry_after: float) -> Fault:
    return Fault(
        code=ResultCode.WEIGHT_STORE_LIMITED,
        detail=detail,
        retry_after=min(max(0.0, retry_after), MAX_RETRY_AFTER_SECONDS),
    )
