"""Keep requests that end targets from the targets."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import gevent

from loomyard.errors import Fault, ResultCode
from loomyard.events import Event, emit
from loomyard_router.crashes.crash_ledger import BLOCKING_LEVEL, MOST_RECORDS
from loomyard_router.crashes.late_verdicts import BrokenRequest, LateVerdicts

if TYPE_CHECKING:
    from loomyard.clock import Clock
    from loomyard_router.announced.announced_target import AnnouncedTarget
    from loomyard_router.announced.target_incarnation import TargetIncarnation
    from loomyard_router.crashes.coalesced_probe import CoalescedProbe
    from loomyard_router.crashes.crash_ledger import CrashLedger
    from loomyard_router.crashes.crash_record import CrashRecord
    from loomyard_router.routed.routed_request import RoutedRequest

logger = logging.getLogger(__name__)

# A request that gave events for so long runs at this target: whatever ended it was something else.
# Targets that ended under a request did so 65 to 72 ms after it had begun to run, in the users'
# record and in a play; one that ends them later than this is not recognized.
RUNS_SECONDS = 1.0


class CrashGuard:
    """Judge requests before each send, and learn from how it ended."""

    def __init__(self, clock: Clock, ledger: CrashLedger, check: CoalescedProbe) -> None:
        self._clock = clock
        self._late = LateVerdicts(clock)
        self._ledger = ledger
        self._check = check
        self._told: set[str] = set()
        ledger.subscribe(self._tell)

    def check(self, request: RoutedRequest) -> Fault | None:
        """Set what a request is suspected of; return why it may not be sent, if so."""
        if self._ledger.empty:
            return None
        until = self._ledger.blocked_until(request.fingerprint)
        request.crash_count = self._ledger.level(request.fingerprint)
        if until is None:
            return None
        return Fault(
            code=ResultCode.ENDS_TARGETS,
            detail=f"{request.crash_count} targets ended when they ran this request",
            retry_after=until - self._clock.now(),
        )

    def record_attempt(self, request: RoutedRequest) -> None:
        """Take in that a request is sent now."""
        known = not self._ledger.empty
        request.send_rank = self._ledger.next_rank(request.fingerprint) if known else 1
        request.first_event_at = None

    def investigate_failure(
        self, request: RoutedRequest, target: AnnouncedTarget
    ) -> gevent.Greenlet:
        """Take in that a target broke a request off; return what finds out whether it ended."""
        began = request.first_event_at
        runs = began is not None and self._clock.now() - began >= RUNS_SECONDS
        return gevent.spawn(
            self._find_out,
            request,
            target,
            request.send_rank,
            runs=runs,
            answered=began is not None,
        )

    def record_response(self, target: AnnouncedTarget) -> None:
        """Take in that a target began an answer."""
        self._late.note_heard(target.incarnation)

    def update_known(self, known: set[TargetIncarnation]) -> None:
        """Take in which lives of targets are known; one that is not any more has ended."""
        for life, broken in self._late.take_ended(known):
            self._ledger.note_end(broken.fingerprint, broken.rank, life)
            emit(
                logger,
                Event.TARGET_ENDED,
                target=life,
                fingerprint=broken.fingerprint,
                rank=broken.rank,
                blamed=True,
                late=True,
                level=self._ledger.level(broken.fingerprint),
            )

    def record_completion(self, request: RoutedRequest) -> None:
        """Take in that a target ran a request to its end, well or not."""
        if not self._ledger.empty:
            self._ledger.clear(request.fingerprint)

    def _find_out(
        self,
        request: RoutedRequest,
        target: AnnouncedTarget,
        rank: int,
        *,
        runs: bool,
        answered: bool,
    ) -> None:
        if not self._check.has_ended(target):
            if not runs:
                broken = BrokenRequest(request.fingerprint, rank)
                self._late.note_broken(target.incarnation, broken, answered=answered)
            return
        self._late.note_heard(target.incarnation)
        if not runs:
            self._ledger.note_end(request.fingerprint, rank, target.incarnation)
        emit(
            logger,
            Event.TARGET_ENDED,
            target=target.id,
            request=request.head.attempt_id,
            fingerprint=request.fingerprint,
            rank=rank,
            blamed=not runs,
            level=self._ledger.level(request.fingerprint),
        )

    def _tell(self, record: CrashRecord) -> None:
        """Write one line when a request is refused from now on, and one when that ends."""
        fingerprint = record.fingerprint
        level = self._ledger.level(fingerprint)
        if level >= BLOCKING_LEVEL:
            if fingerprint not in self._told:
                if len(self._told) >= MOST_RECORDS:
                    # Records that were forgotten are not taken out one by one.
                    self._told.clear()
                self._told.add(fingerprint)
                emit(
                    logger,
                    Event.REQUEST_BLOCKED,
                    fingerprint=fingerprint,
                    targets=list(record.ends.values()),
                )
        elif fingerprint in self._told:
            self._told.discard(fingerprint)
            emit(logger, Event.REQUEST_CLEARED, fingerprint=fingerprint)
