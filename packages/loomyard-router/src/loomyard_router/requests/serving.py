"""The way of a request: route, queue, slot, target, answer."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from gevent import Timeout
from result import Err, Ok, Result

from loomyard.errors import Executed, Fault, ResultCode
from loomyard.events import Event, emit
from loomyard.objects import ServiceType
from loomyard.platform.engine import TargetCall
from loomyard_router.relays.event_stream import StreamProgress, relay_events
from loomyard_router.requests.answer import Answer
from loomyard_router.requests.costs import time_cost, token_cost
from loomyard_router.shares.waiting import WaitingRequest

if TYPE_CHECKING:
    from collections.abc import Iterator

    from loomyard.clock import Clock
    from loomyard.platform.engine import Engine, TargetAnswer
    from loomyard_router.configuration.follower import ConfigFollower
    from loomyard_router.requests.estimates import CostEstimates
    from loomyard_router.requests.request import Request
    from loomyard_router.shares.admission import Admission
    from loomyard_router.shares.policy import SharePolicy

logger = logging.getLogger(__name__)

QUEUE_TIMEOUT_RETRY_AFTER = 2.0
CHARGE_EVERY_EVENTS = 64


class Serving:
    """Serve requests of callers."""

    def __init__(
        self,
        *,
        clock: Clock,
        follower: ConfigFollower,
        policy: SharePolicy,
        engine: Engine,
        estimates: CostEstimates,
    ) -> None:
        self._clock = clock
        self._follower = follower
        self._policy = policy
        self._engine = engine
        self._estimates = estimates

    def serve(self, request: Request) -> Result[Answer, Fault]:
        """Queue, send and relay a request.

        Errors: all codes from 1005 to 3006.
        """
        waiting = self._enqueue(request)
        if waiting.is_err():
            return Err(waiting.unwrap_err())
        admission = self._await_slot(waiting.unwrap())
        if admission.is_err():
            return Err(admission.unwrap_err())
        return self._send(request, admission.unwrap())

    def _enqueue(self, request: Request) -> Result[WaitingRequest, Fault]:
        routing = self._follower.routing
        targets = routing.resolve(request.account, request.service.metadata.name)
        if targets.is_err():
            return Err(targets.unwrap_err())
        waiting = WaitingRequest(
            request_id=request.request_id,
            account=request.account,
            service=request.service,
            targets=targets.unwrap(),
            estimate=self._estimates.estimate(request.account, request.service, request.cost_hint),
            enqueued_at=self._clock.now(),
            deadline=request.deadline,
            prefix=request.prefix,
        )
        return self._policy.submit(waiting).map(lambda _: waiting)

    def _await_slot(self, waiting: WaitingRequest) -> Result[Admission, Fault]:
        seconds = max(0.0, waiting.deadline - self._clock.now())
        with Timeout(seconds, False):
            admitted = waiting.admitted.get()
            return Err(admitted) if isinstance(admitted, Fault) else Ok(admitted)
        if not self._policy.withdraw(waiting):
            return Ok(waiting.admitted.get())
        return Err(
            Fault(
                code=ResultCode.QUEUE_TIMEOUT,
                detail="no slot came free before the deadline",
                retry_after=QUEUE_TIMEOUT_RETRY_AFTER,
            )
        )

    def _send(self, request: Request, admission: Admission) -> Result[Answer, Fault]:
        call = TargetCall(
            attempt_id=f"{request.request_id}.1",
            url=admission.target.url,
            method=request.method,
            path=request.path,
            headers=request.headers,
            body=request.body,
            deadline=request.deadline,
        )
        opened = self._engine.open(call)
        if opened.is_err():
            fault = opened.unwrap_err()
            ran = fault.executed is not Executed.NO
            self._policy.finish(admission, admission.charged if ran else 0.0)
            emit(logger, Event.ATTEMPT_FAILED, attempt=call.attempt_id, code=int(fault.code))
            return Err(fault)
        answer = opened.unwrap()
        relay = self._relay_stream if request.stream else self._relay_whole
        return Ok(
            Answer(
                status=answer.status,
                headers=answer.headers,
                body=relay(request, admission, call, answer),
            )
        )

    def _relay_stream(
        self, request: Request, admission: Admission, call: TargetCall, answer: TargetAnswer
    ) -> Iterator[bytes]:
        progress = StreamProgress()
        charged_events = 0
        source = _AnswerSource(answer)
        try:
            for data in relay_events(source, progress):
                if progress.events - charged_events >= CHARGE_EVERY_EVENTS:
                    charged_events = progress.events
                    reached = token_cost(request.service, prompt=0, completion=progress.events)
                    self._policy.charge(admission, max(admission.charged, reached))
                yield data
        finally:
            if not progress.done:
                self._engine.cancel(call.url, call.attempt_id)
            answer.close()
            prompt, completion = progress.usage or (0, progress.events)
            cost = token_cost(request.service, prompt=prompt, completion=completion)
            self._settle(request, admission, cost)

    def _relay_whole(
        self, request: Request, admission: Admission, call: TargetCall, answer: TargetAnswer
    ) -> Iterator[bytes]:
        progress = StreamProgress()
        source = _AnswerSource(answer)
        try:
            while data := source.read():
                progress.tail = (progress.tail + data)[-4096:]
                yield data
        finally:
            answer.close()
            if request.service.type is ServiceType.MODEL:
                prompt, completion = progress.usage or (0, 0)
                cost = token_cost(request.service, prompt=prompt, completion=completion)
            else:
                seconds = self._clock.now() - admission.admitted_at
                cost = time_cost(request.service, seconds)
            self._settle(request, admission, cost)

    def _settle(self, request: Request, admission: Admission, cost: float) -> None:
        self._estimates.learn(request.account, request.service, cost)
        self._policy.finish(admission, cost)


class _AnswerSource:
    """The body of an answer; a fault ends it."""

    def __init__(self, answer: TargetAnswer) -> None:
        self._answer = answer
        self.fault: Fault | None = None

    def read(self) -> bytes:
        match self._answer.read():
            case Ok(data):
                return data
            case Err(fault):
                self.fault = fault
        return b""
