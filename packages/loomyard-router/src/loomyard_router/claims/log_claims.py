"""Claims ordered by the log service, through the hosts of their partitions."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from loomyard.errors import Executed, Fault, ResultCode
from loomyard_router.claims.hosting import ClaimHosting
from loomyard_router.claims.keeper import Claim, RecordedOutcome
from loomyard_router.claims.key_state import Phase
from loomyard_router.claims.keys import digest_of
from loomyard_router.claims.messages import BeginAnswer, BeginClaim, KeyView, LookUp
from loomyard_router.claims.records import Abandoned, Begun, Finished
from loomyard_router.claims.settling import Settling
from loomyard_router.claims.unknown_watch import CLOCK_MARGIN, is_unknown
from loomyard_router.claims.verdict import Verdict

if TYPE_CHECKING:
    from loomyard.clock import Clock
    from loomyard.outside.log_service import LogService
    from loomyard_router.claims.keeper import ClaimKey
    from loomyard_router.members.membership import Membership
    from loomyard_router.peers.links import PeerLinks

CLAIM_ID_BYTES = 12
MAX_KEPT_BODY = 16 * 1024
MAX_KEPT_TYPE = 200
# A router that answers later than this is taken as not answering.
ASK_SECONDS = 1.0
BEGIN_SECONDS = 2.0
RETRY_AFTER = 1.0
FIRST_POLL = 0.05
LAST_POLL = 0.5


class LogClaims:
    """Let log order decide who sends the request of a key."""

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
        self._settling = Settling(clock, hosting)
        self._begun: dict[str, Begun] = {}

    @property
    def ready(self) -> bool:
        return self._hosting.ready

    def claim(self, key: ClaimKey, deadline: float) -> Result[Claim | RecordedOutcome, Fault]:
        """Return a claim where nothing is known of the key; wait for one that is running."""
        if (expired := self._check_time(key)) is not None:
            return Err(expired)
        digest = digest_of(key)
        poll = FIRST_POLL
        while True:
            view = self._look_up(digest, deadline)
            if view is None:
                return Err(_unavailable("no host of the key's partition can answer"))
            if view.phase is not Phase.FREE and view.fingerprint != key.fingerprint:
                return Err(_fault(ResultCode.KEY_REUSED, "the key was used for another request"))
            match view.phase:
                case Phase.FREE:
                    claim_id = secrets.token_hex(CLAIM_ID_BYTES)
                    return Ok(Claim(key=key, claim_id=claim_id))
                case Phase.FINISHED if view.outcome is not None:
                    return Ok(view.outcome)
            if self._is_lost(view):
                return Err(_unknown())
            self._clock.sleep(max(0.0, min(poll, deadline - self._clock.now())))
            if self._clock.now() >= deadline:
                return Err(_in_progress())
            poll = min(LAST_POLL, poll * 2)

    def begin(self, claim: Claim, deadline: float) -> Result[None, Fault]:
        """Record that the request is about to be sent; on an error it must not be sent."""
        begun = self._begun.get(claim.claim_id)
        if begun is None:
            begun = self._make_begun(claim, deadline)
            verdict = self._ask_begin(begun, deadline)
            if verdict is not Verdict.GRANTED:
                return Err(self._refuse(begun, verdict))
            self._begun[claim.claim_id] = begun
        # The clock is read after the verdict: this process may have slept while it waited.
        if self._clock.now() >= deadline:
            self.abandon(claim)
            return Err(_fault(ResultCode.DEADLINE_PASSED, "the deadline passed before the send"))
        return Ok(None)

    def finish(self, claim: Claim, outcome: RecordedOutcome | None) -> None:
        """Record the outcome; ``None`` where it is unknown."""
        begun = self._begun.pop(claim.claim_id, None)
        if begun is None:
            return
        outcome = None if outcome is None else _bounded(outcome)
        self._settling.add(Finished(claim_id=begun.claim_id, key=begun.key, outcome=outcome))

    def abandon(self, claim: Claim) -> None:
        """Give back a claim of which nothing was sent."""
        begun = self._begun.pop(claim.claim_id, None)
        if begun is not None:
            self._settling.add(_abandoned(begun))

    def start(self) -> None:
        """Start the tasks."""
        self._hosting.start()

    def stop(self) -> None:
        """Wait a moment for what is not settled, then end the tasks."""
        self._settling.stop()
        self._hosting.stop()

    def _check_time(self, key: ClaimKey) -> Fault | None:
        if key.issued_at is None:
            return None
        age = self._clock.wall() - key.issued_at
        if age > self._window:
            return _expired()
        if age < -CLOCK_MARGIN:
            return _fault(ResultCode.KEY_EXPIRED, "the key carries a time that is still to come")
        return None

    def _look_up(self, digest: bytes, deadline: float) -> KeyView | None:
        until = min(deadline, self._clock.now() + ASK_SECONDS)
        for answer in self._hosting.ask(digest, LookUp(key=digest), until):
            if isinstance(answer, KeyView) and answer.ready:
                return answer
        return None

    def _is_lost(self, view: KeyView) -> bool:
        return is_unknown(view, self._members, self._clock.wall())

    def _make_begun(self, claim: Claim, deadline: float) -> Begun:
        wall = self._clock.wall()
        issued_at = claim.key.issued_at
        return Begun(
            claim_id=bytes.fromhex(claim.claim_id),
            key=digest_of(claim.key),
            fingerprint=claim.key.fingerprint,
            owner=self._members.own.name,
            incarnation=self._members.own.incarnation,
            begun_at=wall,
            answer_by=wall + max(0.0, deadline - self._clock.now()),
            keep_until=max(wall, issued_at or 0.0) + self._window + CLOCK_MARGIN,
            issued_at=issued_at,
        )

    def _ask_begin(self, begun: Begun, deadline: float) -> Verdict | None:
        until = min(deadline, self._clock.now() + BEGIN_SECONDS)
        for answer in self._hosting.ask(begun.key, BeginClaim(begun=begun), until):
            if isinstance(answer, BeginAnswer) and answer.verdict is not None:
                return answer.verdict
        return None

    def _refuse(self, begun: Begun, verdict: Verdict | None) -> Fault:
        match verdict:
            case Verdict.TAKEN:
                return _in_progress()
            case Verdict.EXPIRED:
                return _expired()
            case None:
                # The record may stand in the log or come to stand there: nothing was sent.
                self._settling.add(_abandoned(begun))
        return _unavailable("the claim could not be recorded in time")


def make_log_claims(
    *, log: LogService, clock: Clock, members: Membership, peers: PeerLinks, window: float
) -> LogClaims:
    """Make the keeper of a router; ``window`` is in seconds."""
    hosting = ClaimHosting(log=log, clock=clock, members=members, peers=peers)
    return LogClaims(clock=clock, members=members, hosting=hosting, window=window)


def _abandoned(begun: Begun) -> Abandoned:
    return Abandoned(claim_id=begun.claim_id, key=begun.key, keep_until=begun.keep_until)


def _bounded(outcome: RecordedOutcome) -> RecordedOutcome:
    """Return what is kept of an outcome; a target's header may hold any text."""
    body = outcome.body if len(outcome.body or b"") <= MAX_KEPT_BODY else None
    content_type = outcome.content_type.encode("ascii", "replace").decode()[:MAX_KEPT_TYPE]
    return RecordedOutcome(status=outcome.status, content_type=content_type, body=body)


def _fault(code: ResultCode, detail: str) -> Fault:
    return Fault(code=code, detail=detail)


def _expired() -> Fault:
    return Fault(
        code=ResultCode.KEY_EXPIRED,
        detail="the key is older than the window; whether it ran before is not known any more",
        executed=Executed.UNKNOWN,
    )


def _unknown() -> Fault:
    return Fault(
        code=ResultCode.OUTCOME_UNKNOWN,
        detail="the request was sent once and its outcome is not known; it will not be sent again",
        executed=Executed.UNKNOWN,
    )


def _in_progress() -> Fault:
    return Fault(
        code=ResultCode.KEY_IN_PROGRESS,
        detail="a request with this key is running",
        executed=Executed.UNKNOWN,
        retry_after=RETRY_AFTER,
    )


def _unavailable(detail: str) -> Fault:
    return Fault(code=ResultCode.CLAIM_UNAVAILABLE, detail=detail, retry_after=RETRY_AFTER)
