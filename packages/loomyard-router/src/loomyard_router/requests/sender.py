"""Sending one attempt to one target."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from loomyard.errors import Executed, Fault, ResultCode
from loomyard.events import Event, emit
from loomyard.external.engine import TargetCall
from loomyard_router.requests.answer_check import check_answer, is_leaving, read_backoff
from loomyard_router.requests.attempt import Attempt
from loomyard_router.requests.journal import Step
from loomyard_router.requests.settlement import Settlement
from loomyard_router.requests.slot_queue import deadline_fault, gone_fault
from loomyard_router.supervision.tasks import start_task

if TYPE_CHECKING:
    from loomyard.clock import Clock
    from loomyard.external.engine import Engine, TargetAnswer
    from loomyard_router.requests.claimed_run import ClaimedRun
    from loomyard_router.requests.estimates import CostEstimates
    from loomyard_router.requests.journal import Journal
    from loomyard_router.requests.request import Request
    from loomyard_router.shares.admission import Admission
    from loomyard_router.shares.policy import SharePolicy
    from loomyard_router.targets.directory import TargetDirectory

logger = logging.getLogger(__name__)


class Sender:
    """Send attempts of admitted requests, and settle those without a valid answer at once."""

    def __init__(
        self,
        *,
        clock: Clock,
        engine: Engine,
        policy: SharePolicy,
        targets: TargetDirectory,
        estimates: CostEstimates,
        journal: Journal,
    ) -> None:
        self._clock = clock
        self._engine = engine
        self._policy = policy
        self._targets = targets
        self._estimates = estimates
        self._journal = journal

    def send(
        self, request: Request, admission: Admission, run: ClaimedRun, number: int
    ) -> Result[Attempt, Fault]:
        """Send an attempt and return it once its answer has begun."""
        settlement = Settlement(
            clock=self._clock,
            policy=self._policy,
            estimates=self._estimates,
            request=request,
            admission=admission,
        )
        try:
            fault = self._find_fault(request, admission, run)
            if fault is not None:
                settlement.settle_unused()
                return Err(fault)
            return self._open(request, admission, number, settlement)
        except BaseException:
            settlement.settle_uncertain()
            raise

    def _find_fault(self, request: Request, admission: Admission, run: ClaimedRun) -> Fault | None:
        """Check again what may have changed while queued; the deadline last, as the claim waits."""
        name, service = admission.target.metadata.name, request.service.metadata.name
        if not self._targets.may_send(name, service):
            detail = "the target no longer takes new work"
            return Fault(code=ResultCode.TARGET_REFUSED, detail=detail)
        if self._clock.now() >= request.deadline:
            return deadline_fault()
        begun = run.begin(request.deadline)
        if begun.is_err():
            return begun.unwrap_err()
        if request.presence.gone:
            return gone_fault()
        if self._clock.now() >= request.deadline:
            return deadline_fault()
        return None

    def _open(
        self, request: Request, admission: Admission, number: int, settlement: Settlement
    ) -> Result[Attempt, Fault]:
        name = admission.target.metadata.name
        call = _make_call(request, admission, number)
        self._journal.record(request.request_id, Step.SENT, f"{call.attempt_id} to {name}")
        self._targets.record_prefix(name, request.prefix)
        settlement.record_sent()
        with _CancelWhenGone(request, self._engine, call):
            opened = self._engine.open(call)
        if opened.is_err():
            self._targets.report_attempt(name, answered=False)
            return Err(self._fail(request, call, settlement, opened.unwrap_err()))
        answer = opened.unwrap()
        fault = check_answer(request, call, answer)
        self._report_notice(name, answer, fault)
        if fault is None or fault.code is not ResultCode.TARGET_REFUSED:
            self._targets.report_attempt(name, answered=fault is None)
        if fault is not None:
            answer.close()
            return Err(self._fail(request, call, settlement, fault))
        attempt = Attempt(
            number=number, target=name, call=call, answer=answer, settlement=settlement
        )
        return Ok(attempt)

    def _report_notice(self, name: str, answer: TargetAnswer, fault: Fault | None) -> None:
        """Report that the target leaves, as any answer may say, or asks for back-off."""
        headers = {header.lower(): value for header, value in answer.headers}
        if is_leaving(headers):
            self._targets.report_leaving(name)
        backoff = read_backoff(headers)
        if fault is not None and fault.code is ResultCode.TARGET_REFUSED and backoff:
            self._targets.report_backoff(name, self._clock.now() + backoff)

    def _fail(
        self, request: Request, call: TargetCall, settlement: Settlement, fault: Fault
    ) -> Fault:
        if fault.executed is Executed.NO:
            settlement.settle_unused()
        else:
            settlement.settle_uncertain()
            if request.idempotent:
                start_task("cancellation", self._engine.cancel, call.url, call.attempt_id)
        emit(
            logger,
            Event.ATTEMPT_FAILED,
            attempt=call.attempt_id,
            code=int(fault.code),
            detail=fault.detail,
        )
        self._journal.record(request.request_id, Step.FAILED, fault.detail)
        return fault


class _CancelWhenGone:
    """Cancel an idempotent attempt that waits for its answer when the caller goes."""

    def __init__(self, request: Request, engine: Engine, call: TargetCall) -> None:
        self._request = request
        self._engine = engine
        self._call = call

    def __enter__(self) -> None:
        if self._request.idempotent:
            self._request.presence.subscribe(self._cancel)

    def __exit__(self, *_: object) -> None:
        self._request.presence.unsubscribe(self._cancel)

    def _cancel(self) -> None:
        start_task("cancellation", self._engine.cancel, self._call.url, self._call.attempt_id)


def _make_call(request: Request, admission: Admission, number: int) -> TargetCall:
    return TargetCall(
        attempt_id=f"{request.request_id}.{number}",
        url=admission.target.url,
        method=request.method,
        path=request.path,
        headers=request.headers,
        body=request.body,
        deadline=request.deadline,
        idempotent=request.idempotent,
    )
