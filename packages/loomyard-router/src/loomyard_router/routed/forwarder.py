"""Forwarding of a request on a route: slot, attempts at targets, one answer."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from attrs import evolve
from result import Err, Ok, Result

from loomyard.errors import Executed, Fault, ResultCode
from loomyard.events import Event, emit
from loomyard_router.planned_stop import STOPPING
from loomyard_router.requests.answer import Answer
from loomyard_router.requests.answer_check import EVENT_STREAM_TYPE
from loomyard_router.requests.body import Body
from loomyard_router.routed.answer_relay import CRASHED_DETAIL, AnswerRelay
from loomyard_router.routed.target_connection import (
    ExchangeBrokenError,
    ExchangeShortageError,
    ExchangeTimeoutError,
)
from loomyard_router.routed.unread_answers import BufferedAnswer, UnreadAnswers
from loomyard_router.streams.stream_origin import StreamOrigin

if TYPE_CHECKING:
    import gevent

    from loomyard.clock import Clock
    from loomyard_router.admission.admission_gate import AdmissionGate
    from loomyard_router.admission.ejection_tracker import EjectionTracker
    from loomyard_router.admission.slot_permit import SlotPermit
    from loomyard_router.announced.target_incarnation import TargetLife
    from loomyard_router.announced.target_registry import TargetRegistry
    from loomyard_router.crashes.crash_guard import CrashGuard
    from loomyard_router.feeds.read_guard import ReadGuard
    from loomyard_router.planned_stop import PlannedStop
    from loomyard_router.requests.retry_budget import RetryBudget
    from loomyard_router.routed.attempt_sender import AttemptSender, Exchange
    from loomyard_router.routed.event_coalescer import EventCoalescer
    from loomyard_router.routed.routed_request import RoutedRequest
    from loomyard_router.streams.stream_origins import StreamOrigins

logger = logging.getLogger(__name__)

MAX_BUFFERED_BYTES = 1 << 20
RETRY_AFTER = 0.5
# Failed connects allowed for a request; nothing was sent then, so they do not count as attempts.
MAX_UNREACHABLE = 3
_TARGET_FAILURES = (
    ResultCode.TARGET_UNREACHABLE,
    # A target that refuses at once has the fewest requests running and would attract more.
    ResultCode.TARGET_REFUSED,
    ResultCode.ANSWER_LOST,
    ResultCode.ANSWER_INVALID,
    ResultCode.ANSWER_LATE,
    ResultCode.ANSWER_INCOMPLETE,
)


# Faults that a crash of the target causes to all requests that run there.
_CRASH_SYMPTOMS = (ResultCode.ANSWER_LOST, ResultCode.ANSWER_INCOMPLETE)

# Faults before anything was sent.
_NOT_SENT = (
    ResultCode.TARGET_UNREACHABLE,
    ResultCode.ROUTER_OVERLOADED,
    ResultCode.DEADLINE_PASSED,
)


class Forwarder:
    """Send a request to targets until it has an answer or may not be retried."""

    def __init__(
        self,
        *,
        clock: Clock,
        gate: AdmissionGate,
        sender: AttemptSender,
        health: EjectionTracker,
        registry: TargetRegistry,
        guard: CrashGuard,
        retry_budget: RetryBudget,
        coalescer: EventCoalescer,
        unread_answers: UnreadAnswers,
        origins: StreamOrigins,
        planned_stop: PlannedStop,
        read_guard: ReadGuard,
    ) -> None:
        self._read_guard = read_guard
        self._clock = clock
        self._gate = gate
        self._sender = sender
        self._health = health
        self._registry = registry
        self._guard = guard
        self._retry_budget = retry_budget
        self._coalescer = coalescer
        self._unread_answers = unread_answers
        self._origins = origins
        self._planned_stop = planned_stop

    def forward(self, request: RoutedRequest) -> Result[Answer, Fault]:
        """Return the answer to a request; a long body or a stream is relayed as it is read.

        Errors: those of ``StreamOrigins.find``, ``AdmissionGate.acquire`` and
        ``AttemptSender.send``; ``executed`` tells whether it may have run at any target.
        """
        if request.continues_stream:
            found = self._origins.find(request)
            if found.is_err():
                return Err(found.unwrap_err())
            request.origin = found.unwrap()
            request.service = request.origin.service
        if not self._may_send(request):
            return Err(STOPPING)
        self._retry_budget.record_request(request.service)
        opened = self.open(request, excluded=frozenset(), last_event=request.head.last_event_id)
        if opened.is_err():
            return Err(opened.unwrap_err())
        exchange, first, complete = opened.unwrap()
        if complete:
            self.close(request, exchange)
            return Ok(Answer(status=exchange.status, headers=exchange.headers, body=[first]))
        return Ok(self._relay(request, exchange, first))

    def open(
        self, request: RoutedRequest, *, excluded: frozenset[TargetLife], last_event: str
    ) -> Result[tuple[Exchange, bytes, bool], Fault]:
        """Send until an answer has begun; return it, its first bytes and whether they are all."""
        executed = Executed.NO
        attempts = unreachable = 0
        while True:
            blocked = self._guard.check(request)
            if blocked is not None:
                return Err(evolve(blocked, executed=executed) if attempts else blocked)
            self._read_guard.ensure()
            acquired = self._gate.acquire(request, excluded)
            if acquired.is_err():
                fault = acquired.unwrap_err()
                return Err(evolve(fault, executed=executed) if attempts else fault)
            permit = acquired.unwrap()
            # A stall may have ended while this request waited for the slot.
            try:
                self._read_guard.ensure()
            except BaseException:
                permit.return_unused()
                raise
            if not (request.was_sent or self._may_send(request)):
                # The rest of its body, a slot or the turn of this task came late.
                permit.return_unused()
                return Err(STOPPING)
            if not request.presence.check():
                permit.return_unused()
                fault = Fault(code=ResultCode.CALLER_GONE, detail="the caller has gone")
                return Err(evolve(fault, executed=executed))
            if not self._registry.is_usable(permit.target):
                # The target began to leave, or asked for back-off, while this request waited for
                # the slot or this task for its turn.
                permit.return_unused()
                excluded = excluded | {permit.target.incarnation}
                continue
            if self._guard.check(request) is not None:
                # While this request waited for its slot, another router reported that it crashes
                # targets.
                permit.return_unused()
                continue
            request.record_sending()
            outcome = self._attempt(request, permit, last_event)
            if outcome.is_ok():
                exchange, first, complete = outcome.unwrap()
                attempts += 1
                if not (exchange.failed and self._may_retry_answered(request, attempts)):
                    return Ok((exchange, first, complete))
                self._health.record_failure(
                    permit.target, f"status {exchange.status}", unreachable=False
                )
                self.close(request, exchange)
                request.record_sending(ended=True)
                executed = Executed.YES
            else:
                request.record_sending(ended=True)
                fault = outcome.unwrap_err()
                if fault.executed is Executed.NO:
                    # Otherwise refused requests would count as usage of the account.
                    permit.return_unused()
                else:
                    permit.release()
                crash_check = self._record_failure(request, permit, fault)
                if fault.code in _NOT_SENT:
                    unreachable += 1
                else:
                    attempts += 1
                if fault.executed is not Executed.NO:
                    executed = fault.executed
                if not self._may_retry(request, fault, executed, attempts, unreachable):
                    return Err(self._final_fault(fault, executed))
                if crash_check is not None:
                    # The guard must know whether the target crashed before the next attempt.
                    crash_check.join()
            excluded = excluded | {permit.target.incarnation}
            if attempts:
                self._retry_budget.spend(request.service)

    def close(self, request: RoutedRequest, exchange: Exchange) -> None:
        """Release the slot and the connection of an exchange, complete or not."""
        request.trace.ended_by_close = exchange.connection.ended_by_close
        exchange.permit.release()
        self._sender.finish(request, exchange)

    def reopen(
        self, request: RoutedRequest, broken: SlotPermit, *, last_event: str
    ) -> Result[tuple[Exchange, bytes, bool], Fault]:
        """Resume a broken stream at another target, if the retry budget allows."""
        if not self._retry_budget.has_retry(request.service):
            detail = "the retry budget is spent"
            return Err(Fault(code=ResultCode.RETRY_BUDGET_SPENT, detail=detail))
        self._retry_budget.spend(request.service)
        request.slot_wanted_at = self._clock.now()
        return self.open(
            request, excluded=frozenset([broken.target.incarnation]), last_event=last_event
        )

    def record_broken(self, request: RoutedRequest, permit: SlotPermit, detail: str) -> None:
        """Record that a target broke off an answer, and wait for the check whether it crashed."""
        code = ResultCode.ANSWER_INCOMPLETE
        fault = Fault(code=code, detail=detail, executed=Executed.UNKNOWN)
        crash_check = self._record_failure(request, permit, fault)
        if crash_check is not None:
            crash_check.join()

    def record_abort(self, request: RoutedRequest, permit: SlotPermit) -> None:
        """Record that a target broke off an answer that is not resumed elsewhere."""
        self._guard.investigate_failure(request, permit.target)

    def record_first_event(self, request: RoutedRequest, permit: SlotPermit) -> None:
        """Record what began a stream, before its caller gets the first event."""
        if request.origin is None:
            request.origin = StreamOrigin(
                service=request.service, software_version=permit.target.software_version
            )
        if request.route.resumable:
            self._origins.record(request)

    def record_event(self, request: RoutedRequest) -> bool:
        """Record that more of an answer came; tell whether that establishes it."""
        is_established = request.record_event(self._clock.now())
        if is_established:
            self._guard.record_established(request)
        return is_established

    def has_crashed(self, exchange: Exchange) -> bool:
        """Return whether an answer ended by a crash of its target; waits for a connection to it.

        Without a length and chunks the end of the connection is all that marks the end.
        """
        by_close = exchange.connection.ended_by_close
        return by_close and self._guard.has_refused(exchange.permit.target)

    def record_completion(self, request: RoutedRequest, exchange: Exchange) -> None:
        """Record that a target answered a request to the end."""
        self._guard.record_completion(request, exchange.permit.target, failed=exchange.failed)
        if request.origin is not None:
            self._origins.release(request)

    def _may_send(self, request: RoutedRequest) -> bool:
        return self._planned_stop.may_send(request.route.name, request.read_at)

    def _attempt(
        self, request: RoutedRequest, permit: SlotPermit, last_event: str
    ) -> Result[tuple[Exchange, bytes, bool], Fault]:
        try:
            request.trace.record_slot(permit, self._clock.now())
            self._guard.record_attempt(request)
            sent = self._sender.send(
                request, permit, last_event=last_event, answer_by=request.deadline
            )
        except BaseException:
            # Its owner would hold the slot for a request that has ended.
            permit.release()
            raise
        if sent.is_err():
            return Err(sent.unwrap_err())
        exchange = sent.unwrap()
        try:
            if _is_stream(exchange):
                first = exchange.connection.read_block(request.deadline)
                if first:
                    request.record_event(self._clock.now())
                else:
                    self._check_end(exchange)
                request.trace.record_answer_start(self._clock.now())
                permit.record_answer_start()
                self._health.record_success(permit.target)
                self._guard.record_response(permit.target)
                return Ok((exchange, first, False))
            first, complete = self._read_buffered(request, exchange)
        except ExchangeBrokenError as error:
            self._sender.finish(request, exchange)
            return Err(_broken_fault(request, error))
        except BaseException:
            exchange.connection.close()
            self.close(request, exchange)
            raise
        self._guard.record_response(permit.target)
        if not exchange.failed:
            self._health.record_success(permit.target)
        if complete:
            self._guard.record_completion(request, permit.target, failed=exchange.failed)
        return Ok((exchange, first, complete))

    def _read_buffered(self, request: RoutedRequest, exchange: Exchange) -> tuple[bytes, bool]:
        blocks: list[bytes] = []
        size = 0
        while size <= MAX_BUFFERED_BYTES:
            block = exchange.connection.read_block(request.deadline)
            if not block:
                self._check_end(exchange)
                return b"".join(blocks), True
            blocks.append(block)
            size += len(block)
            if not request.reserve_answer(size):
                break
        return b"".join(blocks), False

    def _check_end(self, exchange: Exchange) -> None:
        """Raise ``ExchangeBrokenError`` if an answer ended by a crash of its target."""
        if self.has_crashed(exchange):
            raise ExchangeBrokenError(CRASHED_DETAIL)

    def _relay(self, request: RoutedRequest, exchange: Exchange, first: bytes) -> Answer:
        relay = AnswerRelay(self, request, exchange, self._coalescer)
        blocks = relay.events(first) if _is_stream(exchange) else relay.blocks(first)
        answer = BufferedAnswer(
            blocks,
            request_id=request.head.attempt_id,
            account=request.account_name,
            unread=self._unread_answers,
            ended=relay.finish_unread,
        )
        return Answer(
            status=exchange.status,
            headers=exchange.headers,
            body=Body(answer.blocks(), relay.close),
        )

    def _may_retry(
        self,
        request: RoutedRequest,
        fault: Fault,
        executed: Executed,
        attempts: int,
        unreachable: int,
    ) -> bool:
        if fault.code is ResultCode.CALLER_GONE or not request.presence.check():
            return False
        if fault.code is ResultCode.ROUTER_SHORT:
            return False
        if executed is not Executed.NO and not request.route.repeatable:
            return False
        if not attempts:
            return unreachable < MAX_UNREACHABLE and self._clock.now() < request.deadline
        return self._has_attempts(request, attempts)

    def _may_retry_answered(self, request: RoutedRequest, attempts: int) -> bool:
        # A caller that left gets this answer, which nobody reads, and no other is worked for.
        return (
            request.route.repeatable
            and self._has_attempts(request, attempts)
            and request.presence.check()
        )

    def _has_attempts(self, request: RoutedRequest, attempts: int) -> bool:
        return (
            attempts < request.route.max_attempts
            and self._clock.now() < request.deadline
            and self._retry_budget.has_retry(request.service)
        )

    def _final_fault(self, fault: Fault, executed: Executed) -> Fault:
        if executed is Executed.NO:
            return evolve(fault, retry_after=fault.retry_after or RETRY_AFTER)
        return evolve(fault, executed=executed)

    def _record_failure(
        self, request: RoutedRequest, permit: SlotPermit, fault: Fault
    ) -> gevent.Greenlet | None:
        """Record and log a failed attempt; return the running check for a crash, if any."""
        if fault.code in _TARGET_FAILURES:
            unreachable = fault.code is ResultCode.TARGET_UNREACHABLE
            self._health.record_failure(permit.target, fault.detail, unreachable=unreachable)
        extra: dict[str, object] = {}
        if fault.code is ResultCode.TARGET_REFUSED:
            # A target refuses for lack of a slot, or because of a header that it can't honour.
            extra = {
                "taken": permit.slots_in_use,
                "sent": [name for name, _ in request.head.forwarded_headers],
            }
        emit(
            logger,
            Event.ATTEMPT_FAILED,
            request=request.head.attempt_id,
            target=permit.target.id,
            code=int(fault.code),
            executed=fault.executed.value,
            detail=fault.detail,
            fingerprint=request.fingerprint,
            **extra,
        )
        if fault.code not in _CRASH_SYMPTOMS:
            return None
        return self._guard.investigate_failure(request, permit.target)


def _is_stream(exchange: Exchange) -> bool:
    if exchange.failed:
        return False
    kind = next((v for n, v in exchange.headers if n.lower() == "content-type"), "")
    return kind.startswith(EVENT_STREAM_TYPE)


def _broken_fault(request: RoutedRequest, error: ExchangeBrokenError) -> Fault:
    if request.presence.gone:
        code = ResultCode.CALLER_GONE
    elif isinstance(error, ExchangeTimeoutError):
        code = ResultCode.ANSWER_LATE
    elif isinstance(error, ExchangeShortageError):
        code = ResultCode.ROUTER_SHORT
    else:
        code = ResultCode.ANSWER_INCOMPLETE
    return Fault(code=code, detail=str(error), executed=Executed.UNKNOWN)
