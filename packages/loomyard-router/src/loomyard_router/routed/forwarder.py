"""Serve a request on a route: a place, one target or several, one answer."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from attrs import evolve
from result import Err, Ok, Result

from loomyard.errors import Executed, Fault, ResultCode
from loomyard.events import Event, emit
from loomyard_router.requests.answer import Answer
from loomyard_router.requests.answer_check import EVENT_STREAM_TYPE
from loomyard_router.requests.body import Body
from loomyard_router.routed.stream_passing import StreamPassing
from loomyard_router.routed.target_connection import ExchangeBrokenError, ExchangeLateError
from loomyard_router.routed.unread_answers import PassedAnswer, UnreadAnswers

if TYPE_CHECKING:
    import gevent

    from loomyard.clock import Clock
    from loomyard_router.admission.admission_gate import AdmissionGate
    from loomyard_router.admission.ejection_tracker import EjectionTracker
    from loomyard_router.admission.slot_permit import SlotPermit
    from loomyard_router.announced.target_incarnation import TargetIncarnation
    from loomyard_router.announced.target_registry import TargetRegistry
    from loomyard_router.crashes.crash_guard import CrashGuard
    from loomyard_router.requests.retry_budget import RetryBudget
    from loomyard_router.routed.attempt_sender import AttemptSender, Exchange
    from loomyard_router.routed.event_coalescer import EventCoalescer
    from loomyard_router.routed.routed_request import RoutedRequest

logger = logging.getLogger(__name__)

HELD_BYTES = 1 << 20
RETRY_AFTER = 0.5
# A target that could not be reached was sent nothing and counts for no attempt.
MOST_UNREACHED = 3
_FAULTS_OF_TARGET = (
    ResultCode.TARGET_UNREACHABLE,
    # Who turns requests away at once has the fewest running and draws them, unless it counts.
    ResultCode.TARGET_REFUSED,
    ResultCode.ANSWER_LOST,
    ResultCode.ANSWER_INVALID,
    ResultCode.ANSWER_LATE,
    ResultCode.ANSWER_INCOMPLETE,
)


# What a target that ends does to all that runs there.
_BREAKS = (ResultCode.ANSWER_LOST, ResultCode.ANSWER_INCOMPLETE)

# Nothing was sent.
_UNREACHED = (ResultCode.TARGET_UNREACHABLE, ResultCode.ROUTER_OVERLOADED)


class Forwarder:
    """Send a request until it has an answer or must not be sent again."""

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
    ) -> None:
        self._clock = clock
        self._gate = gate
        self._sender = sender
        self._health = health
        self._registry = registry
        self._guard = guard
        self._budget = retry_budget
        self._pace = coalescer
        self._unread = unread_answers

    def forward(self, request: RoutedRequest) -> Result[Answer, Fault]:
        """Serve a request.

        Errors: those of ``Gate.take`` and ``Sender.send``; ``executed`` tells whether it may have
        run at any target.
        """
        self._budget.deposit(request.service)
        opened = self.open(request, avoided=frozenset(), last_event=request.head.last_event)
        if opened.is_err():
            return Err(opened.unwrap_err())
        exchange, first, whole = opened.unwrap()
        if whole:
            self.close(request, exchange)
            return Ok(Answer(status=exchange.status, headers=exchange.headers, body=[first]))
        return Ok(self._pass_on(request, exchange, first))

    def open(
        self, request: RoutedRequest, *, avoided: frozenset[TargetIncarnation], last_event: str
    ) -> Result[tuple[Exchange, bytes, bool], Fault]:
        """Send until an answer has begun; return it, its first bytes and whether those are all."""
        executed = Executed.NO
        attempts = unreached = 0
        while True:
            blocked = self._guard.check(request)
            if blocked is not None:
                return Err(evolve(blocked, executed=executed) if attempts else blocked)
            taken = self._gate.acquire(request, avoided)
            if taken.is_err():
                fault = taken.unwrap_err()
                return Err(evolve(fault, executed=executed) if attempts else fault)
            place = taken.unwrap()
            if not request.presence.check():
                place.return_unused()
                fault = Fault(code=ResultCode.CALLER_GONE, detail="the caller left")
                return Err(evolve(fault, executed=executed))
            if not self._registry.is_usable(place.target):
                # It began to leave, or asked for rest, while this request waited for the place or
                # for its turn.
                place.return_unused()
                avoided = avoided | {place.target.incarnation}
                continue
            if self._guard.check(request) is not None:
                # Another router learned of it while this request waited for its place.
                place.return_unused()
                continue
            request.trace.place(place, self._clock.now())
            outcome = self._attempt(request, place, last_event)
            if outcome.is_ok():
                exchange, first, whole = outcome.unwrap()
                attempts += 1
                if not (exchange.failed and self._may_repeat(request, attempts)):
                    return Ok((exchange, first, whole))
                self._health.record_failure(
                    place.target, f"status {exchange.status}", unreachable=False
                )
                self.close(request, exchange)
                executed = Executed.YES
            else:
                fault = outcome.unwrap_err()
                if fault.executed is Executed.NO:
                    # Else an account whose requests are turned away would seem to be served.
                    place.return_unused()
                else:
                    place.release()
                checking = self._note(request, place, fault)
                if fault.code in _UNREACHED:
                    unreached += 1
                else:
                    attempts += 1
                if fault.executed is not Executed.NO:
                    executed = fault.executed
                if not self._may_go_on(request, fault, executed, attempts, unreached):
                    return Err(self._final(fault, executed))
                if checking is not None:
                    # The next send must know what this one did.
                    checking.join()
            avoided = avoided | {place.target.incarnation}
            if attempts:
                self._budget.take(request.service)

    def close(self, request: RoutedRequest, exchange: Exchange) -> None:
        """End an exchange, whole or not."""
        exchange.place.release()
        self._sender.finish(request, exchange)

    def reopen(
        self, request: RoutedRequest, broken: SlotPermit, *, last_event: str
    ) -> Result[tuple[Exchange, bytes, bool], Fault]:
        """Go on with a broken stream at another target, if the budget allows."""
        if not self._budget.has(request.service):
            detail = "the budget for retries is spent"
            return Err(Fault(code=ResultCode.RETRY_BUDGET_SPENT, detail=detail))
        self._budget.take(request.service)
        return self.open(
            request, avoided=frozenset([broken.target.incarnation]), last_event=last_event
        )

    def note_broken(self, request: RoutedRequest, place: SlotPermit, detail: str) -> None:
        """Take in that a target broke an answer off, and find out whether it ended."""
        code = ResultCode.ANSWER_INCOMPLETE
        fault = Fault(code=code, detail=detail, executed=Executed.UNKNOWN)
        checking = self._note(request, place, fault)
        if checking is not None:
            checking.join()

    def note_cut(self, request: RoutedRequest, place: SlotPermit) -> None:
        """Take in that a target broke off an answer that does not go on elsewhere."""
        self._guard.investigate_failure(request, place.target)

    def note_whole(self, request: RoutedRequest) -> None:
        """Take in that an answer came to its end."""
        self._guard.record_completion(request)

    def _attempt(
        self, request: RoutedRequest, place: SlotPermit, last_event: str
    ) -> Result[tuple[Exchange, bytes, bool], Fault]:
        self._guard.record_attempt(request)
        sent = self._sender.send(request, place, last_event=last_event, answer_by=request.deadline)
        if sent.is_err():
            return Err(sent.unwrap_err())
        exchange = sent.unwrap()
        try:
            if _is_stream(exchange):
                first = exchange.connection.read_block(request.deadline)
                request.first_event_at = self._clock.now()
                request.trace.answer(request.first_event_at)
                place.record_answer_start()
                self._health.record_success(place.target)
                self._guard.record_response(place.target)
                return Ok((exchange, first, False))
            first, whole = self._hold(request, exchange)
        except ExchangeBrokenError as error:
            self._sender.finish(request, exchange)
            return Err(_broken(request, error))
        self._guard.record_response(place.target)
        if not exchange.failed:
            self._health.record_success(place.target)
        if whole:
            self._guard.record_completion(request)
        return Ok((exchange, first, whole))

    def _hold(self, request: RoutedRequest, exchange: Exchange) -> tuple[bytes, bool]:
        blocks: list[bytes] = []
        size = 0
        while size <= HELD_BYTES:
            block = exchange.connection.read_block(request.deadline)
            if not block:
                return b"".join(blocks), True
            blocks.append(block)
            size += len(block)
        return b"".join(blocks), False

    def _pass_on(self, request: RoutedRequest, exchange: Exchange, first: bytes) -> Answer:
        passing = StreamPassing(self, request, exchange, self._pace)
        blocks = passing.events(first) if _is_stream(exchange) else passing.blocks(first)
        passed = PassedAnswer(
            blocks,
            request_id=request.head.attempt_id,
            account=request.account_name,
            unread=self._unread,
            ended=passing.end_unread,
        )
        return Answer(
            status=exchange.status,
            headers=exchange.headers,
            body=Body(passed.blocks(), passing.close),
        )

    def _may_go_on(
        self,
        request: RoutedRequest,
        fault: Fault,
        executed: Executed,
        attempts: int,
        unreached: int,
    ) -> bool:
        if fault.code is ResultCode.CALLER_GONE or request.presence.gone:
            return False
        if executed is not Executed.NO and not request.route.repeatable:
            return False
        if not attempts:
            return unreached < MOST_UNREACHED and self._clock.now() < request.deadline
        return self._has_attempts(request, attempts)

    def _may_repeat(self, request: RoutedRequest, attempts: int) -> bool:
        return request.route.repeatable and self._has_attempts(request, attempts)

    def _has_attempts(self, request: RoutedRequest, attempts: int) -> bool:
        return (
            attempts < request.route.max_attempts
            and self._clock.now() < request.deadline
            and self._budget.has(request.service)
        )

    def _final(self, fault: Fault, executed: Executed) -> Fault:
        if executed is Executed.NO:
            return evolve(fault, retry_after=fault.retry_after or RETRY_AFTER)
        return evolve(fault, executed=executed)

    def _note(
        self, request: RoutedRequest, place: SlotPermit, fault: Fault
    ) -> gevent.Greenlet | None:
        """Take in a failed attempt; return what finds out whether its target ended, if it may."""
        if fault.code in _FAULTS_OF_TARGET:
            unreachable = fault.code is ResultCode.TARGET_UNREACHABLE
            self._health.record_failure(place.target, fault.detail, unreachable=unreachable)
        more: dict[str, object] = {}
        if fault.code is ResultCode.TARGET_REFUSED:
            # A target refuses for want of a place, or for a header that it can't honour.
            more = {
                "taken": place.taken,
                "sent": [name for name, _ in request.head.forwarded_headers],
            }
        emit(
            logger,
            Event.ATTEMPT_FAILED,
            request=request.head.attempt_id,
            target=place.target.id,
            code=int(fault.code),
            executed=fault.executed.value,
            detail=fault.detail,
            fingerprint=request.fingerprint,
            **more,
        )
        if fault.code not in _BREAKS:
            return None
        return self._guard.investigate_failure(request, place.target)


def _is_stream(exchange: Exchange) -> bool:
    if exchange.failed:
        return False
    kind = next((v for n, v in exchange.headers if n.lower() == "content-type"), "")
    return kind.startswith(EVENT_STREAM_TYPE)


def _broken(request: RoutedRequest, error: ExchangeBrokenError) -> Fault:
    if request.presence.gone:
        code = ResultCode.CALLER_GONE
    elif isinstance(error, ExchangeLateError):
        code = ResultCode.ANSWER_LATE
    else:
        code = ResultCode.ANSWER_INCOMPLETE
    return Fault(code=code, detail=str(error), executed=Executed.UNKNOWN)
