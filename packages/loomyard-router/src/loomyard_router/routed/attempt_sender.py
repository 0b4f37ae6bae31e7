"""Sending of one attempt to one target."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from attrs import define
from result import Err, Ok, Result

from loomyard.errors import Executed, Fault, ResultCode
from loomyard_router.admission.slot_permit import SlotPermit
from loomyard_router.answer_wait import NEGLIGIBLE_LAG, run_loop_pass
from loomyard_router.memory.shortages import note_shortage
from loomyard_router.routed.shortage_fault import make_shortage_fault
from loomyard_router.routed.target_connection import (
    ExchangeBrokenError,
    ExchangeShortageError,
    ExchangeTimeoutError,
    ExchangeUnsentError,
    TargetConnection,
)

if TYPE_CHECKING:
    from loomyard.clock import Clock
    from loomyard_router.announced.target_registry import TargetRegistry
    from loomyard_router.feeds.read_guard import ReadGuard
    from loomyard_router.feeds.read_lease import ReadLease
    from loomyard_router.routed.connection_pool import ConnectionPool
    from loomyard_router.routed.http_codecs import TargetCodec
    from loomyard_router.routed.routed_request import RoutedRequest

MILLISECONDS = 1000
SERVER_ERROR = 500
# The body of a refusal comes with its head; the request can be sent elsewhere meanwhile.
DRAIN_SECONDS = 0.1
# From the last checks to the send; a process that stood still in between checks again.
MAX_PREPARATION_SECONDS = 0.05
# The caller was there before the wait for a connection; it is asked again after a longer one.
NEGLIGIBLE_WAIT_SECONDS = 0.005


@define(eq=False)
class Exchange:
    """An attempt whose answer has begun."""

    permit: SlotPermit
    connection: TargetConnection
    status: int
    headers: list[tuple[str, str]]

    @property
    def failed(self) -> bool:
        """Tell whether the target answered with a server error (5xx)."""
        return self.status >= SERVER_ERROR


class AttemptSender:
    """Send attempts, each at most once; retries are up to the forwarder."""

    def __init__(
        self,
        clock: Clock,
        registry: TargetRegistry,
        pool: ConnectionPool,
        codec: TargetCodec,
        read_guard: ReadGuard,
        lease: ReadLease,
    ) -> None:
        self._read_guard = read_guard
        self._lease = lease
        self._clock = clock
        self._registry = registry
        self._pool = pool
        self._codec = codec

    def send(
        self, request: RoutedRequest, permit: SlotPermit, *, last_event: str, answer_by: float
    ) -> Result[Exchange, Fault]:
        """Send and wait for the head of the answer.

        Errors: ``TARGET_UNREACHABLE``, ``TARGET_REFUSED``, ``ROUTER_OVERLOADED``: it did not run.
        ``ANSWER_LOST``, ``ANSWER_INVALID``, ``ANSWER_LATE``: it may have run. ``CALLER_GONE``,
        ``DEADLINE_PASSED``: it did not run where nothing was sent. ``ROUTER_SHORT``: both,
        as ``executed`` tells.
        """
        self._read_guard.ensure()
        started_at = self._clock.now()
        try:
            connection = self._pool.acquire(permit.target, repeatable=request.route.repeatable)
        except (OSError, MemoryError) as error:
            return Err(self._connect_fault(error))
        while True:
            try:
                fault = self._check_before_send(request, permit, started_at, answer_by)
            except BaseException:
                connection.close()
                raise
            if fault is None and connection.closed:
                detail = "the target closed the connection before the request was sent"
                fault = Fault(code=ResultCode.TARGET_UNREACHABLE, detail=detail)
            if fault is not None:
                self._pool.release_unused(permit.target, connection)
                return Err(fault)
            # Nothing waits from here to the send.
            latest = self._clock.now() + MAX_PREPARATION_SECONDS
            request.presence.subscribe(connection.close)
            try:
                return self._send(request, permit, connection, last_event, answer_by, latest)
            except ExchangeUnsentError:
                request.presence.unsubscribe(connection.close)

    def _send(
        self,
        request: RoutedRequest,
        permit: SlotPermit,
        connection: TargetConnection,
        last_event: str,
        answer_by: float,
        latest: float,
    ) -> Result[Exchange, Fault]:
        try:
            return self._exchange(request, permit, connection, last_event, answer_by, latest)
        except ExchangeUnsentError:
            raise
        except ExchangeTimeoutError as error:
            connection.close()
            return Err(_uncertain_fault(ResultCode.ANSWER_LATE, str(error)))
        except (ExchangeShortageError, MemoryError) as error:
            connection.close()
            note_shortage(error)
            return Err(make_shortage_fault(error, sent=connection.has_begun))
        except ExchangeBrokenError as error:
            connection.close()
            if request.presence.gone:
                return Err(_uncertain_fault(ResultCode.CALLER_GONE, "the caller has gone"))
            return Err(_uncertain_fault(ResultCode.ANSWER_LOST, str(error)))
        except BaseException:
            connection.close()
            raise

    def _check_before_send(
        self, request: RoutedRequest, permit: SlotPermit, started_at: float, answer_by: float
    ) -> Fault | None:
        """Return why an attempt may not be sent any more; may wait for a read of the feeds."""
        has_waited = self._read_guard.ensure()
        now = self._clock.now()
        has_waited = has_waited or now - started_at > NEGLIGIBLE_WAIT_SECONDS
        if has_waited and not request.presence.check():
            return Fault(code=ResultCode.CALLER_GONE, detail="the caller has gone")
        deadline = min(answer_by, request.deadline)
        if now >= deadline:
            detail = f"its time ended {now - deadline:.2f} s before it could be sent"
            return Fault(code=ResultCode.DEADLINE_PASSED, detail=detail)
        if not self._registry.is_usable(permit.target):
            detail = "the target left while a connection to it was opened"
            return Fault(code=ResultCode.TARGET_UNREACHABLE, detail=detail)
        return None

    def _connect_fault(self, error: OSError | MemoryError) -> Fault:
        """Return the fault of a failed connect; a timeout in a lagging router is its own fault."""
        if note_shortage(error):
            return make_shortage_fault(error, sent=False)
        if isinstance(error, TimeoutError) and run_loop_pass(self._clock) > NEGLIGIBLE_LAG:
            detail = "the connect timed out while the event loop of this router lagged"
            return Fault(code=ResultCode.ROUTER_OVERLOADED, detail=detail)
        return Fault(code=ResultCode.TARGET_UNREACHABLE, detail=f"no connection: {error}")

    def finish(self, request: RoutedRequest, exchange: Exchange) -> None:
        """Return the connection to the pool, which closes it unless it is reusable."""
        request.presence.unsubscribe(exchange.connection.close)
        self._pool.release(exchange.permit.target, exchange.connection)

    def _exchange(
        self,
        request: RoutedRequest,
        permit: SlotPermit,
        connection: TargetConnection,
        last_event: str,
        answer_by: float,
        latest: float,
    ) -> Result[Exchange, Fault]:
        remaining = request.deadline - self._clock.now()
        head = self._codec.encode_request_head(
            request,
            permit.target,
            milliseconds=max(1, math.floor(remaining * MILLISECONDS)),
            last_event=last_event,
        )
        request.trace.targets_age = self._lease.age
        connection.send(head, request.body, request.method, answer_by, latest=latest)
        connection.read_head(answer_by)
        headers = connection.headers
        answer = self._codec.decode_answer_head(connection.status, headers)
        self._registry.apply_notice(permit.target, answer.notice)
        if answer.attempt_id and answer.attempt_id != request.head.attempt_id:
            connection.close()
            return Err(
                _uncertain_fault(ResultCode.ANSWER_INVALID, "the answer is for another attempt")
            )
        if answer.not_executed:
            connection.drain(min(answer_by, self._clock.now() + DRAIN_SECONDS))
            request.presence.unsubscribe(connection.close)
            self._pool.release(permit.target, connection)
            detail = f"the target did not run the request: status {connection.status}"
            return Err(Fault(code=ResultCode.TARGET_REFUSED, detail=detail))
        if not answer.attempt_id:
            connection.close()
            return Err(_uncertain_fault(ResultCode.ANSWER_INVALID, "the answer names no attempt"))
        if not answer.authentic:
            connection.close()
            return Err(
                _uncertain_fault(
                    ResultCode.ANSWER_INVALID, "the answer does not have one stamp of a target"
                )
            )
        return Ok(
            Exchange(
                permit=permit, connection=connection, status=connection.status, headers=headers
            )
        )


def _uncertain_fault(code: ResultCode, detail: str) -> Fault:
    return Fault(code=code, detail=detail, executed=Executed.UNKNOWN)
