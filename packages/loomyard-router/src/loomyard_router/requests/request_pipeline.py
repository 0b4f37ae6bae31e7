"""The way of a request: claim, queue, slot, target, answer."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

import attrs
from result import Err, Ok, Result

from loomyard.errors import Executed, Fault
from loomyard_router.claims.keeper import RecordedOutcome
from loomyard_router.metrics.phase import Phase
from loomyard_router.requests.claimed_run import ClaimedRun, claim_run
from loomyard_router.requests.journal import Step
from loomyard_router.requests.retries import FailedAttempt, Retries
from loomyard_router.requests.sender import Sender
from loomyard_router.requests.slot_queue import SlotQueue, deadline_fault, stopping_fault
from loomyard_router.requests.stream_answers import StreamAnswer
from loomyard_router.requests.whole_answers import (
    hold_whole,
    not_kept_fault,
    pass_whole,
    replay,
)

if TYPE_CHECKING:
    from loomyard.clock import Clock
    from loomyard.outside.engine import Engine
    from loomyard_router.claims.keeper import ClaimKeeper
    from loomyard_router.configuration.follower import ConfigFollower
    from loomyard_router.metrics.meters import Meters
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
    """Serve requests of callers."""

    def __init__(
        self,
        *,
        clock: Clock,
        follower: ConfigFollower,
        policy: SharePolicy,
        targets: TargetDirectory,
        claims: ClaimKeeper,
        engine: Engine,
        estimates: CostEstimates,
        journal: Journal,
        stream_resumer: StreamResumer,
        meters: Meters,
        retries: Retries | None = None,
    ) -> None:
        self._clock = clock
        self._claims = claims
        self._engine = engine
        self._journal = journal
        self._resuming = stream_resumer
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
        """Take no new work and refuse what waits; what runs goes on."""
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
                    # Another request with the key was first: wait for what it comes to.

    def _replay(self, request: Request, outcome: RecordedOutcome) -> Result[Answer, Fault]:
        if outcome.body is None:
            return self._refuse(request, not_kept_fault(outcome))
        self._journal.record(request.request_id, Step.ANSWERED, "the recorded outcome")
        return Ok(replay(outcome))

    def _run(self, request: Request, run: ClaimedRun) -> Result[Answer, Fault]:
        certain = True
        try:
            avoided: set[str] = set()
            number = 1
            while True:
                match self._attempt(request, run, number, avoided):
                    case Ok(answer):
                        self._journal.record(request.request_id, Step.ANSWERED)
                        return Ok(answer)
                    case Err(failed):
                        pass
                if run.lost:
                    return Err(failed.fault)
                certain = certain and failed.fault.executed is Executed.NO
                final = self._retries.refuse(request, failed, number)
                if final is not None:
                    return self._give_up(request, run, final, certain)
                avoided.add(failed.target or "")
                self._journal.record(request.request_id, Step.RETRIED, failed.fault.detail)
                self._retries.wait(request, number)
                number += 1
        except BaseException:
            run.finish(None)
            raise

    def _attempt(
        self, request: Request, run: ClaimedRun, number: int, avoided: set[str]
    ) -> Result[Answer, FailedAttempt]:
        queued_at = self._clock.now()
        taken = self._queue.take(request, avoided)
        self._record(request, Phase.QUEUE, queued_at)
        if taken.is_err():
            return Err(FailedAttempt(fault=taken.unwrap_err()))
        admission = taken.unwrap()
        target = admission.target.metadata.name
        if number == 1:
            self._retries.deposit(request.account.metadata.name, target)
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
                    resuming=self._resuming,
                    meters=self._meters,
                )
                return stream.begin().map(stream.answer)
            held = hold_whole(request, attempt)
            self._record(request, Phase.TOTAL, request.arrived_at)
            return held.map(lambda whole: pass_whole(request, attempt, run, whole=whole))
        except BaseException:
            attempt.answer.close()
            attempt.settlement.settle_uncertain()
            raise

    def _give_up(
        self, request: Request, run: ClaimedRun, fault: Fault, certain: bool
    ) -> Result[Answer, Fault]:
        if certain:
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
