"""Refusal of poison requests, and attribution of crashes to requests and parts of prompts."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from loomyard.errors import Fault, ResultCode
from loomyard.events import Event, emit
from loomyard_router.crashes.attribution import BLOCKING_COUNT
from loomyard_router.crashes.block_log import BlockLog
from loomyard_router.crashes.completed_parts import CompletedParts
from loomyard_router.crashes.late_crash_detector import BrokenAttempt, LateCrashDetector
from loomyard_router.crashes.suspect import is_part
from loomyard_router.supervision.tasks import start_task

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    import gevent

    from loomyard.clock import Clock
    from loomyard_router.announced.announced_target import AnnouncedTarget
    from loomyard_router.announced.target_incarnation import TargetLife
    from loomyard_router.crashes.coalesced_probe import CoalescedProbe
    from loomyard_router.crashes.crash_ledger import CrashLedger
    from loomyard_router.crashes.crash_record import CrashRecord
    from loomyard_router.crashes.part_gate import PartGate
    from loomyard_router.routed.routed_request import RoutedRequest

logger = logging.getLogger(__name__)

MILLISECONDS = 1000
# Time after the end of an answer by which a target that crashes on it has crashed.
COMPLETION_SETTLE_SECONDS = 0.25
# Time within which routers tell that they completed answers on suspected parts.
DISPROOF_SECONDS = 0.05


class CrashGuard:
    """Checks requests before each attempt and records how the attempt ended."""

    def __init__(
        self,
        clock: Clock,
        ledger: CrashLedger,
        probe: CoalescedProbe,
        part_gate: PartGate,
        rng: random.Random,
    ) -> None:
        self._clock = clock
        self._late_detector = LateCrashDetector(clock)
        self._ledger = ledger
        self._probe = probe
        self._part_gate = part_gate
        self._rng = rng
        self._block_log = BlockLog(ledger)
        self._completed = CompletedParts(clock)
        # Parts that became suspected, of which answers were completed here lately.
        self._disproved: set[str] = set()
        ledger.subscribe(self._disprove)
        # Suspects for which it is being found out whether a target lives on after an answer.
        self._settling: set[str] = set()

    def check(self, request: RoutedRequest) -> Fault | None:
        """Set the request's crash count; return the fault that refuses it if it is blocked."""
        if self._ledger.empty:
            return None
        until = self._ledger.blocked_until(request.fingerprint)
        request.crash_count = self._ledger.crash_count(request.fingerprint)
        if until is not None:
            detail = f"{request.crash_count} targets crashed while running this request"
            return self._refusal(detail, until)
        verdict = self._part_gate.check(request.part_names)
        request.trials = verdict.trials
        if verdict.refused_until is not None:
            detail = "targets crashed while running requests with the same part of a prompt"
            return self._refusal(detail, verdict.refused_until)
        if verdict.trials:
            # A trial runs apart from other suspected requests, like a request at its last crash.
            request.crash_count = max(request.crash_count, BLOCKING_COUNT)
        return None

    def record_attempt(self, request: RoutedRequest) -> None:
        """Set the ranks of an attempt that starts now."""
        known = not self._ledger.empty
        request.send_ranks = self._ledger.next_ranks(request.suspects) if known else {}
        request.clear_events()
        if request.trials:
            self._part_gate.start_trials(request.trials)

    def investigate_failure(
        self, request: RoutedRequest, target: AnnouncedTarget
    ) -> gevent.Greenlet:
        """Start to find out whether the target of a failed attempt crashed; return the task."""
        began = request.first_event_at
        return start_task(
            "crash guard",
            self._investigate,
            request,
            target,
            BrokenAttempt(request.fingerprint, request.part_names, request.send_ranks),
            established=request.is_established,
            answered_ms=(
                None if began is None else round((self._clock.now() - began) * MILLISECONDS)
            ),
        )

    def has_refused(self, target: AnnouncedTarget) -> bool:
        """Return whether a target refuses connections, so that it has ended; waits for one."""
        return self._probe.has_refused(target)

    def record_response(self, target: AnnouncedTarget) -> None:
        """Record that a target began an answer, so it has not crashed."""
        self._late_detector.record_response(target.incarnation)
        self._probe.record_response(target.incarnation)

    def update_known(self, known: set[TargetLife]) -> None:
        """Replace the listed incarnations; attribute crashes to attempts at vanished ones."""
        for incarnation, attempt in self._late_detector.pop_crashed(known):
            self._record_crash(attempt.suspects, attempt, incarnation)
            emit(
                logger,
                Event.TARGET_ENDED,
                target=incarnation,
                fingerprint=attempt.fingerprint,
                rank=attempt.rank(attempt.fingerprint),
                blamed=True,
                late=True,
                level=self._ledger.crash_count(attempt.fingerprint),
            )

    def record_completion(
        self, request: RoutedRequest, target: AnnouncedTarget, *, failed: bool
    ) -> None:
        """Record that a target completed a request, successfully or not.

        The request is cleared at once, the parts of its prompt once the target is known to live on.
        """
        suspected: set[str] = set()
        if not self._ledger.empty:
            self._ledger.clear(request.fingerprint)
            suspected = {one for one in request.part_names if self._ledger.has_crashes(one)}
        if failed:
            # The target has not begun an answer on the parts of its prompt.
            return
        if not suspected or request.is_established:
            self._completed.record(request.service, request.head.model, request.shared_parts)
            self._clear(suspected)
        elif suspected - self._settling:
            self._settling |= suspected
            attempt = BrokenAttempt(request.fingerprint, request.part_names, request.send_ranks)
            start_task("crash guard", self._settle, target, attempt, suspected)

    def record_established(self, request: RoutedRequest) -> None:
        """Record that a target has answered a request for so long that it will not crash on it."""
        if not self._ledger.empty:
            self._clear(request.suspects)

    def _settle(self, target: AnnouncedTarget, attempt: BrokenAttempt, suspected: set[str]) -> None:
        """Clear the suspected parts of a completed request, unless its target crashes then."""
        self._clock.sleep(COMPLETION_SETTLE_SECONDS)
        self._settling -= suspected
        if self._probe.has_refused(target):
            self._record_crash(suspected, attempt, target.incarnation)
        else:
            self._clear(suspected)

    def _investigate(
        self,
        request: RoutedRequest,
        target: AnnouncedTarget,
        attempt: BrokenAttempt,
        *,
        established: bool,
        answered_ms: int | None,
    ) -> None:
        if not self._probe.has_ended(target):
            if not established:
                self._late_detector.record_failure(
                    target.incarnation, attempt, answered=answered_ms is not None
                )
            return
        self._late_detector.record_response(target.incarnation)
        if established:
            self._clear(attempt.suspects)
        else:
            self._record_crash(attempt.suspects, attempt, target.incarnation)
        emit(
            logger,
            Event.TARGET_ENDED,
            target=target.id,
            request=request.head.attempt_id,
            fingerprint=request.fingerprint,
            rank=attempt.rank(request.fingerprint),
            blamed=not established,
            level=self._ledger.crash_count(request.fingerprint),
            answered_ms=answered_ms,
            parts=sorted(attempt.parts),
        )

    def _disprove(self, record: CrashRecord) -> None:
        """Clear a part that became suspected if an answer on it was completed here lately."""
        part = record.suspect
        if is_part(part) and self._completed.take(part) and record.incarnations:
            self._disproved.add(part)
            if len(self._disproved) == 1:
                start_task("crash guard", self._clear_disproved)

    def _clear_disproved(self) -> None:
        # Most other routers need not do it as well once the first one has.
        self._clock.sleep(self._rng.uniform(0.0, DISPROOF_SECONDS))
        disproved, self._disproved = self._disproved, set()
        self._clear(disproved)

    def _record_crash(
        self, suspects: Iterable[str], attempt: BrokenAttempt, incarnation: TargetLife
    ) -> None:
        for suspect in sorted(suspects):
            self._ledger.record_crash(suspect, attempt.rank(suspect), incarnation)

    def _clear(self, suspects: Iterable[str]) -> None:
        for suspect in sorted(suspects):
            self._ledger.clear(suspect)

    def _refusal(self, detail: str, until: float) -> Fault:
        return Fault(
            code=ResultCode.ENDS_TARGETS, detail=detail, retry_after=until - self._clock.now()
        )
