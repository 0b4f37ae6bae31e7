"""Keep what targets say of themselves in their answers."""

from __future__ import annotations

import logging
from collections import OrderedDict
from typing import TYPE_CHECKING

from loomyard.events import Event, emit
from loomyard_router.targets.target_backoffs import TargetBackoffs

if TYPE_CHECKING:
    from collections.abc import Callable

    from loomyard.clock import Clock
    from loomyard_router.announced.announced_target import AnnouncedTarget
    from loomyard_router.announced.target_incarnation import TargetIncarnation
    from loomyard_router.announced.target_notice import TargetNotice

logger = logging.getLogger(__name__)

# Lives that left, remembered until as many others did. No life returns, so only room bounds this.
MOST_LEAVING = 4096


class TargetNotices:
    """Which targets said that they leave, and until when others asked this router for rest.

    A target's own word needs no store to arrive, so neither an outage nor what the store lists or
    forgets meanwhile takes it back. It counts for the life that said it. Rest is asked of one
    router; a leaving concerns all of them.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._leaving: OrderedDict[TargetIncarnation, None] = OrderedDict()
        self._resting = TargetBackoffs(clock)
        self._told: list[Callable[[TargetIncarnation], None]] = []
        self.leaving_count = 0
        self.backoff_requests = 0

    @property
    def backing_off(self) -> int:
        """Return how many targets this router leaves alone, as they asked."""
        return len(self._resting.names)

    def subscribe(self, told: Callable[[TargetIncarnation], None]) -> None:
        """Call back with each life that told this router that it leaves; it must not wait."""
        self._told.append(told)

    def is_leaving(self, life: TargetIncarnation) -> bool:
        """Tell whether a life said that it leaves."""
        return life in self._leaving

    def backoff_until(self, life: TargetIncarnation) -> float:
        """Return until when a life asked to be left alone; it may have passed."""
        return self._resting.until(life)

    def apply(self, target: AnnouncedTarget, notice: TargetNotice) -> bool:
        """Take in what a target said; tell whether that changes who may get work."""
        left = notice.leaving and self.note_leaving(target.incarnation)
        if left:
            self.leaving_count += 1
            emit(logger, Event.TARGET_SAYS_LEAVING, target=target.id, service=target.service)
            for told in self._told:
                told(target.incarnation)
        rests = notice.backoff_seconds > 0.0 and self._note_rest(target, notice.backoff_seconds)
        return left or rests

    def note_leaving(self, life: TargetIncarnation) -> bool:
        """Take in that a life leaves; tell whether that is new."""
        if life in self._leaving:
            return False
        self._leaving[life] = None
        if len(self._leaving) > MOST_LEAVING:
            self._leaving.popitem(last=False)
        return True

    def _note_rest(self, target: AnnouncedTarget, seconds: float) -> bool:
        self._resting.expire()
        self.backoff_requests += 1
        if not self._resting.record(target.incarnation, self._clock.now() + seconds):
            return False
        emit(
            logger,
            Event.TARGET_ASKS_FOR_REST,
            target=target.id,
            service=target.service,
            seconds=seconds,
        )
        return True
