"""Relay of answers that are streamed as events."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from loomyard.errors import Fault, ResultCode
from loomyard.events import Event, emit
from loomyard_router.callers.problems import error_event
from loomyard_router.claims.claim_coordinator import RecordedOutcome
from loomyard_router.metrics.phase import Phase
from loomyard_router.relays.event_stream import EventStream
from loomyard_router.relays.stream_relay import StreamRelay
from loomyard_router.requests.answer import Answer
from loomyard_router.requests.answer_check import EVENT_STREAM_TYPE
from loomyard_router.requests.body import Body
from loomyard_router.requests.slot_queue import gone_fault
from loomyard_router.supervision.tasks import start_task

if TYPE_CHECKING:
    from collections.abc import Generator

    from loomyard.clock import Clock
    from loomyard.external.engine import Engine
    from loomyard_router.metrics.request_metrics import RequestMetrics
    from loomyard_router.requests.attempt import Attempt
    from loomyard_router.requests.claimed_run import ClaimedRun
    from loomyard_router.requests.request import Request
    from loomyard_router.requests.stream_resumer import StreamResumer

logger = logging.getLogger(__name__)

CHARGE_EVERY_EVENTS = 64


class StreamAnswer:
    """Relay one stream of events from an engine to its caller."""

    def __init__(
        self,
        *,
        clock: Clock,
        engine: Engine,
        request: Request,
        attempt: Attempt,
        run: ClaimedRun,
        stream_resumer: StreamResumer,
        meters: RequestMetrics,
    ) -> None:
        self._clock = clock
        self._engine = engine
        self._request = request
        self._attempt = attempt
        self._run = run
        self._resumer = stream_resumer
        self._meters = meters
        self._stream = EventStream(drop_usage=not request.usage_requested)
        self._relay = StreamRelay(attempt.answer, self._stream, self._resume)
        self._charged = 0
        self._charged_at = 0.0
        self._failed = False

    def begin(self) -> Result[bytes, Fault]:
        """Read the first events; the attempt is settled on an error."""
        self._request.presence.subscribe(self._relay.close)
        begun = self._relay.read()
        if begun.is_err():
            self._close()
            if self._request.presence.gone:
                return Err(gone_fault())
            return begun
        self._charged, self._charged_at = self._stream.events, self._clock.now()
        self._record(Phase.FIRST_TOKEN, self._charged_at - self._request.arrived_at)
        return begun

    def answer(self, first: bytes) -> Answer:
        """Return the answer, whose body begins with the first events."""
        headers = [("Content-Type", EVENT_STREAM_TYPE), ("Cache-Control", "no-store")]
        return Answer(
            status=self._attempt.answer.status,
            headers=headers,
            body=Body(self._blocks(first), self._on_close),
            request_id=self._resumer.make_resumable_id(self._request, self._attempt),
        )

    def _blocks(self, first: bytes) -> Generator[bytes, None, None]:
        yield first
        while True:
            if self._is_late():
                detail = "the deadline passed during the answer"
                yield self._error(Fault(code=ResultCode.DEADLINE_PASSED, detail=detail))
                return
            match self._relay.read():
                case Ok(b""):
                    break
                case Ok(events):
                    self._charge()
                    yield events
                case Err(fault):
                    if not self._request.presence.gone:
                        yield self._error(fault)
                    return
        self._sample_gap()
        self._record(Phase.TOTAL, self._clock.now() - self._request.arrived_at)
        self._settle()
        self._relay.finish()

    def _is_late(self) -> bool:
        request = self._request
        return request.has_caller_deadline and self._clock.now() >= request.deadline

    def _charge(self) -> None:
        events = self._stream.events
        if events - self._charged >= CHARGE_EVERY_EVENTS:
            self._sample_gap()
            self._attempt.settlement.charge(events)

    def _sample_gap(self) -> None:
        """Measure the mean time between the events since the last sample."""
        events, now = self._stream.events, self._clock.now()
        if events > self._charged:
            gap = (now - self._charged_at) / (events - self._charged)
            self._record(Phase.BETWEEN_TOKENS, gap)
        self._charged, self._charged_at = events, now

    def _record(self, phase: Phase, seconds: float) -> None:
        account, service = self._request.account, self._request.service
        self._meters.record(account.metadata.name, service.metadata.name, phase, seconds)

    def _error(self, fault: Fault) -> bytes:
        self._failed = True
        return error_event(fault, self._request.request_id, idempotent=self._request.idempotent)

    def _resume(self, after: int) -> Result:
        if self._request.presence.gone:
            return Err(gone_fault())
        emit(logger, Event.STREAM_RESUMED, attempt=self._attempt.call.attempt_id, after=after)
        return self._engine.resume(self._attempt.call, after)

    def _settle(self) -> None:
        self._attempt.settlement.settle(self._stream.usage, self._stream.events)
        if self._stream.done:
            status = self._attempt.answer.status
            outcome = RecordedOutcome(status=status, content_type=EVENT_STREAM_TYPE, body=None)
            self._run.finish(outcome)
        else:
            self._run.finish(None)

    def _on_close(self) -> None:
        """End the answer; a caller that has gone before its end may resume the stream."""
        if self._stream.done or self._failed:
            self._close()
            return
        self._request.presence.unsubscribe(self._relay.close)
        self._relay.close()
        attempt_id = self._attempt.call.attempt_id
        emit(logger, Event.CALLER_GONE, attempt=attempt_id)
        self._resumer.pending.add(attempt_id, self._end_pending)

    def _end_pending(self, resumed: bool) -> None:
        self._settle()
        if not resumed:
            self._cancel()

    def _close(self) -> None:
        self._request.presence.unsubscribe(self._relay.close)
        self._settle()
        self._relay.close()
        if not self._stream.done:
            self._cancel()

    def _cancel(self) -> None:
        call = self._attempt.call
        start_task("cancellation", self._engine.cancel, call.url, call.attempt_id)
