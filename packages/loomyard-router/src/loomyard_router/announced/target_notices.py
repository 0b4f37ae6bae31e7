"""Keep what targets say of themselves in their answers."""

from __future__ import annotations

import logging
from collections import OrderedDict
from typing import TYPE_CHECKING

from loomyard.events import Event, emit

if TYPE_CHECKING:
    from loomyard.clock import Clock
    from loomyard_router.announced.announced_target import AnnouncedTarget
    from loomyard_router.announced.target_life import TargetLife
    from loomyard_router.announced.target_notice import TargetNotice

logger = logging.getLogger(__name__)

# Lives that left, remembered until as many others did. No life returns, so only room bounds this.
MOST_LEAVING = 4096


class TargetNotices:
    """Which targets said that they leave, and until when others asked this router for rest."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._leaving: OrderedDict[TargetLife, None] = OrderedDict()
        self._rests_until: dict[TargetLife, float] = {}
        self.leavings = 0
        self.rests = 0

    @property
    def resting(self) -> int:
        """Return how many targets this router leaves alone, as they asked."""
        now = self._clock.now()
        return sum(now < until for until in self._rests_until.values())

    def hear(self, target: AnnouncedTarget, notice: TargetNotice) -> bool:
        """Take in what a target said; tell whether that changes anything."""
        left = notice.leaving and self._note_leaving(target)
        rests = notice.rest_seconds > 0.0 and self._note_rest(target, notice.rest_seconds)
        return left or rests

    def _note_leaving(self, target: AnnouncedTarget) -> bool:
        if target.life in self._leaving:
            return False
        self._leaving[target.life] = None
        if len(self._leaving) > MOST_LEAVING:
            self._leaving.popitem(last=False)
        self.leavings += 1
        emit(logger, Event.TARGET_SAYS_LEAVING, target=target.id, service=target.service)
        return True

    def _note_rest(self, target: AnnouncedTarget, seconds: float) -> bool:
        now = self._clock.now()
        before = self._rests_until.get(target.life, now)
        self._rests_until = {
            life: until for life, until in self._rests_until.items() if until > now
        }
        self._rests_until[target.life] = max(before, now + seconds)
        self.rests += 1
        if before > now:
            return False
        emit(
            logger,
            Event.TARGET_ASKS_FOR_REST,
            target=target.id,
            service=target.service,
            seconds=seconds,
        )
        return True
