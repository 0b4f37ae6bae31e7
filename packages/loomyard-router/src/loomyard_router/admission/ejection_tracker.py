"""Which targets failed lately, by the outcomes of what was sent to them."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from attrs import define

from loomyard.events import Event, emit

if TYPE_CHECKING:
    from collections.abc import Iterable

    from loomyard.clock import Clock
    from loomyard_router.announced.announced_target import AnnouncedTarget
    from loomyard_router.announced.target_incarnation import TargetIncarnation

logger = logging.getLogger(__name__)

FIRST_EJECTION_SECONDS = 0.5
MAX_EJECTION_SECONDS = 4.0
# Weight of the newest outcome in the mean of failures, and the mean that ejects a target.
NEWEST_WEIGHT = 0.2
EJECTING_MEAN = 0.45
# A refused or hung connection says more than one failed answer.
UNREACHABLE_WEIGHT = 0.6


@define(eq=False)
class _Record:
    failing: float = 0.0
    rest: float = FIRST_EJECTION_SECONDS
    rests_until: float = 0.0


class EjectionTracker:
    """Let targets that fail rest for a while, ever longer; one request tries them afterwards."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._records: dict[TargetIncarnation, _Record] = {}

    def healthy(self, targets: Iterable[AnnouncedTarget]) -> list[AnnouncedTarget]:
        """Return the targets that don't rest; all of them where each one does."""
        now = self._clock.now()
        listed = list(targets)
        sound = [target for target in listed if not self._rests(target.incarnation, now)]
        return sound or listed

    def record_success(self, target: AnnouncedTarget) -> None:
        """Take in that a target answered as it should."""
        record = self._records.get(target.incarnation)
        if record is None:
            return
        record.failing *= 1.0 - NEWEST_WEIGHT
        if record.rests_until:
            emit(logger, Event.TARGET_RETURNED, target=target.id, service=target.service)
            record.rests_until = 0.0
        if record.failing < NEWEST_WEIGHT / 2:
            del self._records[target.incarnation]

    def record_failure(self, target: AnnouncedTarget, detail: str, *, unreachable: bool) -> None:
        """Take in that a target failed a request, or could not be reached."""
        now = self._clock.now()
        record = self._records.setdefault(target.incarnation, _Record())
        weight = UNREACHABLE_WEIGHT if unreachable else NEWEST_WEIGHT
        record.failing += weight * (1.0 - record.failing)
        if record.failing < EJECTING_MEAN or record.rests_until > now:
            return
        record.rest = record.rest * 2 if record.rests_until else FIRST_EJECTION_SECONDS
        record.rest = min(record.rest, MAX_EJECTION_SECONDS)
        record.rests_until = now + record.rest
        emit(
            logger,
            Event.TARGET_EJECTED,
            target=target.id,
            service=target.service,
            failing=round(record.failing, 2),
            seconds=record.rest,
            detail=detail,
        )

    def forget(self, known: set[TargetIncarnation]) -> None:
        """Forget lives of targets that are not known any more."""
        for life in set(self._records) - known:
            del self._records[life]

    def _rests(self, life: TargetIncarnation, now: float) -> bool:
        record = self._records.get(life)
        return record is not None and record.rests_until > now
