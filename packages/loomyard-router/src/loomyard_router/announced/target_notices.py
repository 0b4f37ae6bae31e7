"""State from the notices that targets send with their answers."""

from __future__ import annotations

import logging
from collections import OrderedDict
from typing import TYPE_CHECKING

from loomyard.events import Event, emit
from loomyard_router.supervision.listeners import Listeners
from loomyard_router.targets.target_backoffs import TargetBackoffs

if TYPE_CHECKING:
    from collections.abc import Callable

    from loomyard.clock import Clock
    from loomyard_router.announced.announced_target import AnnouncedTarget
    from loomyard_router.announced.target_incarnation import TargetLife
    from loomyard_router.announced.target_notice import TargetNotice

logger = logging.getLogger(__name__)

# Leaving incarnations remembered. None of them returns, so only memory bounds this.
MAX_LEAVING = 4096


class TargetNotices:
    """Which targets said that they leave, and until when others asked this router to back off.

    Notices come from the target itself and not by the store, so neither a store outage nor its
    listings revoke them. They apply to one incarnation. A back-off binds the router that was asked,
    leaving concerns all routers.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._leaving: OrderedDict[TargetLife, None] = OrderedDict()
        self._backoffs = TargetBackoffs(clock)
        self._listeners = Listeners("target notices")
        self.leaving_count = 0
        self.backoff_requests = 0

    @property
    def backing_off(self) -> int:
        """Return from how many targets this router backs off now."""
        return len(self._backoffs.names)

    def subscribe(self, listener: Callable[[TargetLife], None]) -> None:
        """Call back with each incarnation that told this router it leaves; must not block."""
        self._listeners.subscribe(listener)

    def is_leaving(self, incarnation: TargetLife) -> bool:
        """Return whether an incarnation said that it leaves."""
        return incarnation in self._leaving

    def backoff_until(self, incarnation: TargetLife) -> float:
        """Return the end of the back-off that an incarnation asked for; it may have passed."""
        return self._backoffs.until(incarnation)

    def apply(self, target: AnnouncedTarget, notice: TargetNotice) -> bool:
        """Apply the notice of a target; return whether that changes which targets are usable."""
        leaves = notice.leaving and self.record_leaving(target.incarnation)
        if leaves:
            self.leaving_count += 1
            emit(logger, Event.TARGET_SAYS_LEAVING, target=target.id, service=target.service)
            self._listeners.notify(target.incarnation)
        backs_off = notice.backoff_seconds > 0.0 and self._record_backoff(
            target, notice.backoff_seconds
        )
        return leaves or backs_off

    def record_leaving(self, incarnation: TargetLife) -> bool:
        """Record that an incarnation leaves; return whether that is new."""
        if incarnation in self._leaving:
            return False
        self._leaving[incarnation] = None
        if len(self._leaving) > MAX_LEAVING:
            self._leaving.popitem(last=False)
        return True

    def _record_backoff(self, target: AnnouncedTarget, seconds: float) -> bool:
        self._backoffs.expire()
        self.backoff_requests += 1
        if not self._backoffs.record(target.incarnation, self._clock.now() + seconds):
            return False
        emit(
            logger,
            Event.TARGET_ASKS_FOR_REST,
            target=target.id,
            service=target.service,
            seconds=seconds,
        )
        return True
