"""Publication of operators' changes on the log, and their verdicts."""

from __future__ import annotations

import logging
import secrets
from typing import TYPE_CHECKING

from attrs import evolve
from result import Err, Ok, Result

from loomyard.codec import encode
from loomyard.configuration import (
    CONFIG_STREAM,
    MAX_CHANGE_BYTES,
    Change,
    Put,
    Verdict,
    find_form_faults,
)
from loomyard.errors import Fault, ResultCode
from loomyard.events import Event, emit
from loomyard.objects import ObjectRef, Target, TargetState
from loomyard_router.operators.documents import ChangeOutcome, ChangeRequest

if TYPE_CHECKING:
    from loomyard.clock import Clock
    from loomyard.external.log_service import LogService
    from loomyard_router.configuration.follower import ConfigFollower
    from loomyard_router.configuration.settled_change import SettledChange
    from loomyard_router.operators.fleet_status import FleetStatus

logger = logging.getLogger(__name__)

SETTLE_SECONDS = 5.0
MAX_WAIT_SECONDS = 60.0
MAX_DRAIN_ATTEMPTS = 5
CHANGE_ID_BYTES = 16


class ChangePublisher:
    """Appends each change once, and returns the verdict that is read back from the log."""

    def __init__(
        self, *, clock: Clock, log: LogService, follower: ConfigFollower, fleet_status: FleetStatus
    ) -> None:
        self._clock = clock
        self._log = log
        self._follower = follower
        self._fleet_status = fleet_status

    def publish(self, request: ChangeRequest) -> Result[ChangeOutcome, Fault]:
        """Publish a change and return its outcome; idempotent for a settled ``change_id``.

        Errors: ``CHANGE_REJECTED`` (not appended), ``LOG_UNAVAILABLE`` (not appended),
        ``CHANGE_UNSETTLED``.
        """
        change = Change(
            change_id=request.change_id or secrets.token_hex(CHANGE_ID_BYTES),
            author=request.author,
            puts=request.puts,
            deletions=request.deletions,
        )
        settled = self._append(change)
        if settled.is_err():
            return Err(settled.unwrap_err())
        wait = min(max(request.wait_seconds, 0.0), MAX_WAIT_SECONDS)
        return Ok(self._outcome(settled.unwrap(), wait))

    def find(self, change_id: str) -> Result[ChangeOutcome, Fault]:
        """Return the outcome of a change, without waiting for other routers.

        Error: ``CHANGE_UNSETTLED`` if this router has not read the change.
        """
        settled = self._follower.await_settled(change_id, self._clock.now())
        return settled.map(lambda found: self._outcome(found, 0.0))

    def drain_target(self, name: str, author: str) -> Result[ChangeOutcome, Fault]:
        """Publish a change of a target's state to ``LEAVING``, with retries if it was stale.

        Errors: ``UNKNOWN_OBJECT`` and those of ``publish``.
        """
        ref = ObjectRef(Target.__name__, name)
        for _ in range(MAX_DRAIN_ATTEMPTS):
            versioned = self._follower.state.get(ref)
            if versioned is None or not isinstance(versioned.object, Target):
                return Err(Fault(code=ResultCode.UNKNOWN_OBJECT, detail=f"there is no {ref}"))
            leaving = evolve(versioned.object, state=TargetState.LEAVING)
            put = Put(object=leaving, based_on=versioned.version)
            outcome = self.publish(ChangeRequest(author=author, puts=[put]))
            if outcome.is_err() or outcome.unwrap().verdict != Verdict.STALE.value:
                break
        return outcome

    def _append(self, change: Change) -> Result[SettledChange, Fault]:
        known = self._follower.replica.settled(change.change_id)
        if known is not None:
            return Ok(known)
        try:
            payload = encode(change)
        except UnicodeEncodeError as error:
            return Err(Fault(code=ResultCode.CHANGE_REJECTED, detail=f"invalid text: {error}"))
        if fault := _check_form(change, payload):
            return Err(fault)
        appended = self._log.append(CONFIG_STREAM, payload)
        if appended.is_err() and appended.unwrap_err().code is not ResultCode.LOG_ANSWER_LOST:
            return Err(appended.unwrap_err())
        # After a lost answer the record may be in the log: it is read back, not appended again.
        return self._follower.await_settled(change.change_id, self._clock.now() + SETTLE_SECONDS)

    def _outcome(self, settled: SettledChange, wait: float) -> ChangeOutcome:
        decision = settled.decision
        outcome = ChangeOutcome(
            change_id=settled.change_id,
            offset=settled.offset,
            verdict=decision.verdict.value,
            detail=decision.detail,
        )
        emit(
            logger,
            Event.OPERATOR_CHANGE,
            change=settled.change_id,
            offset=settled.offset,
            verdict=outcome.verdict,
        )
        if decision.verdict is not Verdict.ACCEPTED:
            return outcome
        reached = self._fleet_status.await_in_force(settled.offset, self._clock.now() + wait)
        return evolve(outcome, in_force=reached.in_force, lagging=reached.lagging)


def _check_form(change: Change, payload: bytes) -> Fault | None:
    if len(payload) > MAX_CHANGE_BYTES:
        detail = f"the change takes {len(payload)} bytes of {MAX_CHANGE_BYTES}; split it"
        return Fault(code=ResultCode.CHANGE_REJECTED, detail=detail)
    if faults := find_form_faults(change):
        return Fault(code=ResultCode.CHANGE_REJECTED, detail="; ".join(faults))
    return None
