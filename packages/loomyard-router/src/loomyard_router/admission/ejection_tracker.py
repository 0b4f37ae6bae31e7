"""Outlier ejection: leave out targets whose recent requests failed."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from attrs import define

from loomyard.events import Event, emit

if TYPE_CHECKING:
    from collections.abc import Iterable

    from loomyard.clock import Clock
    from loomyard_router.announced.announced_target import AnnouncedTarget
    from loomyard_router.announced.target_incarnation import TargetLife

logger = logging.getLogger(__name__)

FIRST_EJECTION_SECONDS = 0.5
MAX_EJECTION_SECONDS = 4.0
# Weight of the newest outcome in the moving average of failures, and the average that ejects.
NEWEST_WEIGHT = 0.2
EJECTION_THRESHOLD = 0.45
# A refused or hung connection is stronger evidence than one failed answer.
UNREACHABLE_WEIGHT = 0.6


@define(eq=False)
class _Record:
    failure_average: float = 0.0
    ejection_seconds: float = FIRST_EJECTION_SECONDS
    ejected_until: float = 0.0


class EjectionTracker:
    """Eject targets that fail, for a time that doubles with each ejection.

    After its ejection a target gets requests again; one failure ejects it anew, one success ends
    the series.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._records: dict[TargetLife, _Record] = {}

    def healthy(self, targets: Iterable[AnnouncedTarget]) -> list[AnnouncedTarget]:
        """Return the targets that are not ejected, or all of them where each one is."""
        now = self._clock.now()
        listed = list(targets)
        healthy = [target for target in listed if not self._is_ejected(target.incarnation, now)]
        return healthy or listed

    def record_success(self, target: AnnouncedTarget) -> None:
        """Record that a target answered as it should."""
        record = self._records.get(target.incarnation)
        if record is None:
            return
        record.failure_average *= 1.0 - NEWEST_WEIGHT
        if record.ejected_until:
            emit(logger, Event.TARGET_RETURNED, target=target.id, service=target.service)
            record.ejected_until = 0.0
        if record.failure_average < NEWEST_WEIGHT / 2:
            del self._records[target.incarnation]

    def record_failure(self, target: AnnouncedTarget, detail: str, *, unreachable: bool) -> None:
        """Record that a target failed a request, or was unreachable."""
        now = self._clock.now()
        record = self._records.setdefault(target.incarnation, _Record())
        weight = UNREACHABLE_WEIGHT if unreachable else NEWEST_WEIGHT
        record.failure_average += weight * (1.0 - record.failure_average)
        if record.failure_average < EJECTION_THRESHOLD or record.ejected_until > now:
            return
        record.ejection_seconds = (
            record.ejection_seconds * 2 if record.ejected_until else FIRST_EJECTION_SECONDS
        )
        record.ejection_seconds = min(record.ejection_seconds, MAX_EJECTION_SECONDS)
        record.ejected_until = now + record.ejection_seconds
        emit(
            logger,
            Event.TARGET_EJECTED,
            target=target.id,
            service=target.service,
            failing=round(record.failure_average, 2),
            seconds=record.ejection_seconds,
            detail=detail,
        )

    def retain(self, known: set[TargetLife]) -> None:
        """Drop the state of all other incarnations."""
        for incarnation in set(self._records) - known:
            del self._records[incarnation]

    def _is_ejected(self, incarnation: TargetLife, now: float) -> bool:
        record = self._records.get(incarnation)
        return record is not None and record.ejected_until > now
