"""Pipeline of a request: claim, queue, slot, attempts, answer."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

import attrs
from result import Err, Ok, Result

from loomyard.errors import Executed, Fault
from loomyard_router.claims.claim_coordinator import RecordedOutcome
from loomyard_router.metrics.phase import Phase
from loomyard_router.requests.claimed_run import ClaimedRun, claim_run
from loomyard_router.requests.journal import Step
from loomyard_router.requests.retries import FailedAttempt, Retries
from loomyard_router.requests.sender import Sender
from loomyard_router.requests.slot_queue import SlotQueue, deadline_fault, stopping_fault
from loomyard_router.requests.stream_answers import StreamAnswer
from loomyard_router.requests.whole_answers import (
    body_not_recorded_fault,
    make_answer,
    read_whole,
    replay,
)

if TYPE_CHECKING:
    from loomyard.clock import Clock
    from loomyard.external.engine import Engine
    from loomyard_router.claims.claim_coordinator import ClaimCoordinator
    from loomyard_router.configuration.follower import ConfigFollower
    from loomyard_router.metrics.request_metrics import RequestMetrics
    from loomyard_router.orders.local_backlog import LocalBacklog
    from loomyard_router.requests.answer import Answer
    from loomyard_router.requests.attempt import Attempt
    from loomyard_router.requests.estimates import CostEstimates
    from loomyard_router.requests.journal import Journal
    from loomyard_router.requests.request import Request
    from loomyard_router.requests.stream_resumer import StreamResumer
    from loomyard_router.shares.policy import SharePolicy
    from loomyard_router.targets.directory import TargetDirectory


class RequestPipeline:
    """Serve requests of client accounts, from the claim to the answer."""

    def __init__(
        self,
        *,
        clock: Clock,
        follower: ConfigFollower,
        policy: SharePolicy,
        targets: TargetDirectory,
        claims: ClaimCoordinator,
        engine: Engine,
        estimates: CostEstimates,
        journal: Journal,
        stream_resumer: StreamResumer,
        meters: RequestMetrics,
        retries: Retries | None = None,
    ) -> None:
        self._clock = clock
        self._claims = claims
        self._engine = engine
        self._journal = journal
        self._resumer = stream_resumer
        self._meters = meters
        self._retries = retries or Retries(clock)
        self._queue = SlotQueue(
            clock=clock, follower=follower, policy=policy, targets=targets, estimates=estimates
        )
        self._sender = Sender(
            clock=clock,
            engine=engine,
            policy=policy,
            targets=targets,
            estimates=estimates,
            journal=journal,
        )

    @property
    def stopping(self) -> bool:
        return self._queue.stopping

    @property
    def backlog(self) -> LocalBacklog:
        return self._queue.backlog

    def stop(self) -> None:
        """Refuse new and queued requests; running ones go on."""
        self._queue.stop()

    def serve(self, request: Request) -> Result[Answer, Fault]:
        """Claim, queue, send and relay a request.

        Errors: all codes from 1005 to 4005.
        """
        self._journal.record(request.request_id, Step.RECEIVED, request.account.metadata.name)
        if self._queue.stopping:
            return self._refuse(request, stopping_fault())
        if self._clock.now() >= request.deadline:
            return self._refuse(request, deadline_fault())
        while True:
            match claim_run(self._claims, request):
                case Err(fault):
                    return self._refuse(request, fault)
                case Ok(RecordedOutcome() as outcome):
                    return self._replay(request, outcome)
                case Ok(ClaimedRun() as run):
                    answer = self._run(request, run)
                    if not run.lost:
                        return answer
                    # Another request with this key was first: the next claim waits for its outcome.

    def _replay(self, request: Request, outcome: RecordedOutcome) -> Result[Answer, Fault]:
        if outcome.body is None:
            return self._refuse(request, body_not_recorded_fault(outcome))
        self._journal.record(request.request_id, Step.ANSWERED, "the recorded outcome")
        return Ok(replay(outcome))

    def _run(self, request: Request, run: ClaimedRun) -> Result[Answer, Fault]:
        nothing_ran = True
        try:
            excluded: set[str] = set()
            number = 1
            while True:
                match self._attempt(request, run, number, excluded):
                    case Ok(answer):
                        self._journal.record(request.request_id, Step.ANSWERED)
                        return Ok(answer)
                    case Err(failed):
                        pass
                if run.lost:
                    return Err(failed.fault)
                nothing_ran = nothing_ran and failed.fault.executed is Executed.NO
                final = self._retries.check(request, failed, number)
                if final is not None:
                    return self._fail(request, run, final, nothing_ran)
                excluded.add(failed.target or "")
                self._journal.record(request.request_id, Step.RETRIED, failed.fault.detail)
                self._retries.wait(request, number)
                number += 1
        except BaseException:
            run.finish(None)
            raise

    def _attempt(
        self, request: Request, run: ClaimedRun, number: int, excluded: set[str]
    ) -> Result[Answer, FailedAttempt]:
        queued_at = self._clock.now()
        acquired = self._queue.acquire(request, excluded)
        self._record(request, Phase.QUEUE, queued_at)
        if acquired.is_err():
            return Err(FailedAttempt(fault=acquired.unwrap_err()))
        admission = acquired.unwrap()
        target = admission.target.metadata.name
        if number == 1:
            self._retries.record_request(request.account.metadata.name, target)
        self._journal.record(request.request_id, Step.ADMITTED, target)
        sent = self._sender.send(request, admission, run, number)
        answered = sent.and_then(lambda attempt: self._begin_answer(request, attempt, run))
        return answered.map_err(lambda fault: FailedAttempt(fault=fault, target=target))

    def _begin_answer(
        self, request: Request, attempt: Attempt, run: ClaimedRun
    ) -> Result[Answer, Fault]:
        try:
            if request.stream and attempt.answer.status == HTTPStatus.OK:
                stream = StreamAnswer(
                    clock=self._clock,
                    engine=self._engine,
                    request=request,
                    attempt=attempt,
                    run=run,
                    stream_resumer=self._resumer,
                    meters=self._meters,
                )
                return stream.begin().map(stream.answer)
            read = read_whole(request, attempt)
            self._record(request, Phase.TOTAL, request.arrived_at)
            return read.map(lambda complete: make_answer(request, attempt, run, complete=complete))
        except BaseException:
            attempt.answer.close()
            attempt.settlement.settle_uncertain()
            raise

    def _fail(
        self, request: Request, run: ClaimedRun, fault: Fault, nothing_ran: bool
    ) -> Result[Answer, Fault]:
        if nothing_ran:
            run.abandon()
        else:
            run.finish(None)
            executed = Executed.UNKNOWN if fault.executed is Executed.NO else fault.executed
            fault = attrs.evolve(fault, executed=executed)
        return self._refuse(request, fault)

    def _record(self, request: Request, phase: Phase, since: float) -> None:
        account, service = request.account.metadata.name, request.service.metadata.name
        self._meters.record(account, service, phase, self._clock.now() - since)

    def _refuse(self, request: Request, fault: Fault) -> Result[Answer, Fault]:
        self._journal.record(request.request_id, Step.REFUSED, f"{fault.detail} [{fault.code:d}]")
        return Err(fault)
