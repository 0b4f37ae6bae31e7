"""Send one attempt to one target."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from attrs import define
from result import Err, Ok, Result

from loomyard.errors import Executed, Fault, ResultCode
from loomyard_router.admission.slot_permit import SlotPermit
from loomyard_router.own_time import NEGLIGIBLE_LAG, take_turn
from loomyard_router.routed.target_connection import (
    ExchangeBrokenError,
    ExchangeLateError,
    TargetConnection,
)

if TYPE_CHECKING:
    from loomyard.clock import Clock
    from loomyard_router.announced.target_registry import TargetRegistry
    from loomyard_router.routed.connection_pool import ConnectionPool
    from loomyard_router.routed.http_codecs import TargetCodec
    from loomyard_router.routed.routed_request import RoutedRequest

MILLISECONDS = 1000
SERVER_ERROR = 500


@define(eq=False)
class Exchange:
    """An attempt whose answer has begun."""

    place: SlotPermit
    connection: TargetConnection
    status: int
    headers: list[tuple[str, str]]

    @property
    def failed(self) -> bool:
        """Tell whether the target answered with an error of its own."""
        return self.status >= SERVER_ERROR


class AttemptSender:
    """Send requests; no attempt is ever sent twice here."""

    def __init__(
        self, clock: Clock, registry: TargetRegistry, pool: ConnectionPool, dialect: TargetCodec
    ) -> None:
        self._clock = clock
        self._registry = registry
        self._pool = pool
        self._dialect = dialect

    def send(
        self, request: RoutedRequest, place: SlotPermit, *, last_event: str, answer_by: float
    ) -> Result[Exchange, Fault]:
        """Send and wait for the head of the answer.

        Errors: ``TARGET_UNREACHABLE``, ``TARGET_REFUSED``, ``ROUTER_OVERLOADED``: it did not run.
        ``ANSWER_LOST``, ``ANSWER_INVALID``, ``ANSWER_LATE``: it may have run. ``CALLER_GONE``.
        """
        try:
            connection = self._pool.acquire(place.target, repeatable=request.route.repeatable)
        except OSError as error:
            return Err(self._judge_unconnected(error))
        request.presence.subscribe(connection.close)
        try:
            return self._exchange(request, place, connection, last_event, answer_by)
        except ExchangeLateError as error:
            connection.close()
            return Err(_maybe_run(ResultCode.ANSWER_LATE, str(error)))
        except ExchangeBrokenError as error:
            connection.close()
            if request.presence.gone:
                return Err(_maybe_run(ResultCode.CALLER_GONE, "the caller left"))
            return Err(_maybe_run(ResultCode.ANSWER_LOST, str(error)))
        except BaseException:
            connection.close()
            raise

    def _judge_unconnected(self, error: OSError) -> Fault:
        """Tell whether a connection that did not come up says something of the target."""
        if isinstance(error, TimeoutError) and take_turn(self._clock) > NEGLIGIBLE_LAG:
            detail = "this router was too late to see a connection come up"
            return Fault(code=ResultCode.ROUTER_OVERLOADED, detail=detail)
        return Fault(code=ResultCode.TARGET_UNREACHABLE, detail=f"no connection: {error}")

    def finish(self, request: RoutedRequest, exchange: Exchange) -> None:
        """Keep the connection if its answer was read whole, and close it otherwise."""
        request.presence.unsubscribe(exchange.connection.close)
        self._pool.release(exchange.place.target, exchange.connection)

    def _exchange(
        self,
        request: RoutedRequest,
        place: SlotPermit,
        connection: TargetConnection,
        last_event: str,
        answer_by: float,
    ) -> Result[Exchange, Fault]:
        left = request.deadline - self._clock.now()
        head = self._dialect.encode_request_head(
            request,
            place.target,
            milliseconds=max(1, math.floor(left * MILLISECONDS)),
            last_event=last_event,
        )
        connection.send(head, request.body, request.method, answer_by)
        connection.read_head(answer_by)
        headers = connection.headers
        word = self._dialect.decode_answer_head(connection.status, headers)
        self._registry.apply_notice(place.target, word.notice)
        if word.attempt_id and word.attempt_id != request.head.attempt_id:
            connection.close()
            return Err(_maybe_run(ResultCode.ANSWER_INVALID, "the answer is to another attempt"))
        if word.not_executed:
            self._read_out(connection, answer_by)
            request.presence.unsubscribe(connection.close)
            self._pool.release(place.target, connection)
            detail = f"the target did not run it: status {connection.status}"
            return Err(Fault(code=ResultCode.TARGET_REFUSED, detail=detail))
        if not word.attempt_id:
            connection.close()
            return Err(_maybe_run(ResultCode.ANSWER_INVALID, "the answer names no attempt"))
        if not word.authentic:
            connection.close()
            return Err(_maybe_run(ResultCode.ANSWER_INVALID, "no target vouches for the answer"))
        return Ok(
            Exchange(place=place, connection=connection, status=connection.status, headers=headers)
        )

    def _read_out(self, connection: TargetConnection, deadline: float) -> None:
        """Read the short body of a refusal, so that the connection can be used again."""
        try:
            while connection.read_block(deadline):
                pass
        except ExchangeBrokenError:
            connection.close()


def _maybe_run(code: ResultCode, detail: str) -> Fault:
    return Fault(code=code, detail=detail, executed=Executed.UNKNOWN)
