"""Claims that are ordered by the log service, through the hosts of their partitions."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from loomyard.errors import Executed, Fault, ResultCode
from loomyard_router.claims.claim_coordinator import Claim, RecordedOutcome
from loomyard_router.claims.claim_settler import ClaimSettler
from loomyard_router.claims.hosting import ClaimHosting
from loomyard_router.claims.key_state import Phase
from loomyard_router.claims.keys import digest_key
from loomyard_router.claims.messages import BeginAnswer, BeginClaim, KeyView, LookUp
from loomyard_router.claims.records import Abandoned, Begun, Finished
from loomyard_router.claims.unknown_outcomes import MAX_CLOCK_SKEW, is_outcome_unknown
from loomyard_router.claims.verdict import Verdict

if TYPE_CHECKING:
    from loomyard.clock import Clock
    from loomyard.external.log_service import LogService
    from loomyard_router.claims.claim_coordinator import ClaimKey
    from loomyard_router.members.membership import Membership
    from loomyard_router.peers.links import PeerLinks

CLAIM_ID_BYTES = 12
MAX_RECORDED_BODY_BYTES = 16 * 1024
MAX_RECORDED_TYPE_CHARS = 200
# Longest wait for the answer of any host; after it the claim is refused as unavailable.
LOOK_UP_SECONDS = 1.0
BEGIN_SECONDS = 2.0
RETRY_AFTER_SECONDS = 1.0
FIRST_POLL_SECONDS = 0.05
MAX_POLL_SECONDS = 0.5


class LogClaims:
    """Coordinates claims so that the first ``Begun`` record of a key in the log wins."""

    def __init__(
        self,
        *,
        clock: Clock,
        members: Membership,
        hosting: ClaimHosting,
        window: float,
    ) -> None:
        self._clock = clock
        self._members = members
        self._hosting = hosting
        self._window = window
        self._settler = ClaimSettler(clock, hosting)
        self._begun: dict[str, Begun] = {}

    @property
    def ready(self) -> bool:
        return self._hosting.ready

    def claim(self, key: ClaimKey, deadline: float) -> Result[Claim | RecordedOutcome, Fault]:
        """Return a claim if the key is free, or its outcome; wait while its request is running."""
        if (expired := self._check_issue_time(key)) is not None:
            return Err(expired)
        digest = digest_key(key)
        poll = FIRST_POLL_SECONDS
        while True:
            view = self._look_up(digest, deadline)
            if view is None:
                return Err(_make_unavailable("no host of the key's partition can answer"))
            if view.phase is not Phase.FREE and view.fingerprint != key.fingerprint:
                return Err(
                    _make_fault(ResultCode.KEY_REUSED, "the key was used for another request")
                )
            match view.phase:
                case Phase.FREE:
                    claim_id = secrets.token_hex(CLAIM_ID_BYTES)
                    return Ok(Claim(key=key, claim_id=claim_id))
                case Phase.FINISHED if view.outcome is not None:
                    return Ok(view.outcome)
            if self._is_outcome_unknown(view):
                return Err(_make_unknown())
            self._clock.sleep(max(0.0, min(poll, deadline - self._clock.now())))
            if self._clock.now() >= deadline:
                return Err(_make_in_progress())
            poll = min(MAX_POLL_SECONDS, poll * 2)

    def begin(self, claim: Claim, deadline: float) -> Result[None, Fault]:
        """Record that the request is about to be sent; on an error it must not be sent."""
        begun = self._begun.get(claim.claim_id)
        if begun is None:
            begun = self._make_begun(claim, deadline)
            verdict = self._request_begin(begun, deadline)
            if verdict is not Verdict.GRANTED:
                return Err(self._make_refusal(begun, verdict))
            self._begun[claim.claim_id] = begun
        # The clock is read after the verdict: the process may have been paused while it waited.
        if self._clock.now() >= deadline:
            self.abandon(claim)
            return Err(
                _make_fault(ResultCode.DEADLINE_PASSED, "the deadline passed before the send")
            )
        return Ok(None)

    def finish(self, claim: Claim, outcome: RecordedOutcome | None) -> None:
        """Record the outcome; ``None`` where it is unknown."""
        begun = self._begun.pop(claim.claim_id, None)
        if begun is None:
            return
        outcome = None if outcome is None else _truncate(outcome)
        self._settler.add(Finished(claim_id=begun.claim_id, key=begun.key, outcome=outcome))

    def abandon(self, claim: Claim) -> None:
        """Release a claim under which nothing was sent."""
        begun = self._begun.pop(claim.claim_id, None)
        if begun is not None:
            self._settler.add(_make_abandoned(begun))

    def start(self) -> None:
        """Start the tasks."""
        self._hosting.start()

    def stop(self) -> None:
        """Wait briefly until the records of ended claims are appended, then end the tasks."""
        self._settler.stop()
        self._hosting.stop()

    def _check_issue_time(self, key: ClaimKey) -> Fault | None:
        if key.issued_at is None:
            return None
        age = self._clock.wall() - key.issued_at
        if age > self._window:
            return _make_expired()
        if age < -MAX_CLOCK_SKEW:
            return _make_fault(ResultCode.KEY_EXPIRED, "the key carries a time in the future")
        return None

    def _look_up(self, digest: bytes, deadline: float) -> KeyView | None:
        until = min(deadline, self._clock.now() + LOOK_UP_SECONDS)
        for answer in self._hosting.request(digest, LookUp(key=digest), until):
            if isinstance(answer, KeyView) and answer.ready:
                return answer
        return None

    def _is_outcome_unknown(self, view: KeyView) -> bool:
        return is_outcome_unknown(view, self._members, self._clock.wall())

    def _make_begun(self, claim: Claim, deadline: float) -> Begun:
        wall = self._clock.wall()
        issued_at = claim.key.issued_at
        return Begun(
            claim_id=bytes.fromhex(claim.claim_id),
            key=digest_key(claim.key),
            fingerprint=claim.key.fingerprint,
            owner=self._members.own.name,
            incarnation=self._members.own.incarnation,
            begun_at=wall,
            answer_by=wall + max(0.0, deadline - self._clock.now()),
            keep_until=max(wall, issued_at or 0.0) + self._window + MAX_CLOCK_SKEW,
            issued_at=issued_at,
        )

    def _request_begin(self, begun: Begun, deadline: float) -> Verdict | None:
        until = min(deadline, self._clock.now() + BEGIN_SECONDS)
        for answer in self._hosting.request(begun.key, BeginClaim(begun=begun), until):
            if isinstance(answer, BeginAnswer) and answer.verdict is not None:
                return answer.verdict
        return None

    def _make_refusal(self, begun: Begun, verdict: Verdict | None) -> Fault:
        match verdict:
            case Verdict.TAKEN:
                return _make_in_progress()
            case Verdict.EXPIRED:
                return _make_expired()
            case None:
                # The record may be in the log or still arrive there, but nothing was sent.
                self._settler.add(_make_abandoned(begun))
        return _make_unavailable("the claim could not be recorded in time")


def make_log_claims(
    *, log: LogService, clock: Clock, members: Membership, peers: PeerLinks, window: float
) -> LogClaims:
    """Make the claim coordinator of a router; keys are remembered for ``window`` seconds."""
    hosting = ClaimHosting(log=log, clock=clock, members=members, peers=peers)
    return LogClaims(clock=clock, members=members, hosting=hosting, window=window)


def _make_abandoned(begun: Begun) -> Abandoned:
    return Abandoned(claim_id=begun.claim_id, key=begun.key, keep_until=begun.keep_until)


def _truncate(outcome: RecordedOutcome) -> RecordedOutcome:
    """Return what is recorded of an outcome; the target's content type may be any text."""
    body = outcome.body if len(outcome.body or b"") <= MAX_RECORDED_BODY_BYTES else None
    content_type = outcome.content_type.encode("ascii", "replace").decode()[
        :MAX_RECORDED_TYPE_CHARS
    ]
    return RecordedOutcome(status=outcome.status, content_type=content_type, body=body)


def _make_fault(code: ResultCode, detail: str) -> Fault:
    return Fault(code=code, detail=detail)


def _make_expired() -> Fault:
    return Fault(
        code=ResultCode.KEY_EXPIRED,
        detail="the key is older than the claim window; whether it ran before is unknown",
        executed=Executed.UNKNOWN,
    )


def _make_unknown() -> Fault:
    return Fault(
        code=ResultCode.OUTCOME_UNKNOWN,
        detail="the request was sent once and its outcome is not known; it will not be sent again",
        executed=Executed.UNKNOWN,
    )


def _make_in_progress() -> Fault:
    return Fault(
        code=ResultCode.KEY_IN_PROGRESS,
        detail="a request with this key is running",
        executed=Executed.UNKNOWN,
        retry_after=RETRY_AFTER_SECONDS,
    )


def _make_unavailable(detail: str) -> Fault:
    return Fault(code=ResultCode.CLAIM_UNAVAILABLE, detail=detail, retry_after=RETRY_AFTER_SECONDS)
