"""Shortages of memory and descriptors: when there is one, and what is given back then."""

from __future__ import annotations

import gc
import logging
from typing import TYPE_CHECKING

from attrs import define
from gevent.event import Event as GeventEvent

from loomyard.events import Event, emit
from loomyard.util.waiting import wait_any
from loomyard_router.memory.c_allocator import trim
from loomyard_router.memory.shortages import shortage_counts, subscribe, unsubscribe
from loomyard_router.memory.usage import read_usage
from loomyard_router.supervision.guard import call_guarded
from loomyard_router.supervision.tasks import start_supervised

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    import gevent

    from loomyard.clock import Clock
    from loomyard_router.memory.reserves import Reserve

logger = logging.getLogger(__name__)

PART = "shortages"
# At most so often requests have it tried whether there is enough.
TRIAL_SECONDS = 0.1
# Enough must be there for so long before a shortage is over.
STABLE_SECONDS = 1.0
REPORT_SECONDS = 1.0
# After so long the least is enough: what was given back may be all that can be.
PATIENCE_SECONDS = 5.0
# An error whose notice was lost for want of memory is noticed so late at the latest.
LOOK_SECONDS = 1.0
# A longer shortage makes the router unready.
UNREADY_SECONDS = 2.0


@define
class _Shortage:
    since: float
    errors_before: int
    enough_since: float | None = None
    next_report_at: float = 0.0


class ShortageMonitor:
    """Tell whether there is a shortage; give back what can be spared as long as there is one.

    ``give_back`` are functions that close or drop what is not in use; they must not block.
    """

    def __init__(
        self, clock: Clock, reserves: Iterable[Reserve], give_back: Iterable[Callable[[], None]]
    ) -> None:
        self._clock = clock
        self._reserves = {reserve.kind: reserve for reserve in reserves}
        self._give_back = tuple(give_back)
        self._shortages: dict[str, _Shortage] = {}
        self._next_trial_at = 0.0
        self._begun = GeventEvent()
        self._task: gevent.Greenlet | None = None
        self.total = 0

    @property
    def is_short(self) -> bool:
        """Tell whether there is a shortage now."""
        if not self._shortages and self._clock.now() >= self._next_trial_at:
            self._next_trial_at = self._clock.now() + TRIAL_SECONDS
            for kind, reserve in self._reserves.items():
                if reserve.is_short():
                    self.begin(kind)
        return bool(self._shortages)

    @property
    def is_lasting(self) -> bool:
        """Tell whether there has been a shortage for so long that others should take over."""
        latest = self._clock.now() - UNREADY_SECONDS
        return any(one.since <= latest for one in self._shortages.values())

    def start(self) -> None:
        """Take the reserves, and listen to errors that mean a shortage."""
        for kind, reserve in self._reserves.items():
            if not reserve.take() and not reserve.take(least=True):
                self.begin(kind)
        # Before any shortage, in which a task might not start.
        self._task = start_supervised(PART, self._clock, self._run)
        subscribe(self.begin)

    def stop(self) -> None:
        """Release everything."""
        unsubscribe(self.begin)
        if self._task is not None:
            self._task.kill(block=False)
        for reserve in self._reserves.values():
            reserve.release()

    def begin(self, kind: str) -> None:
        """Record that there is too little, and give back what can be spared."""
        known = self._shortages.get(kind)
        if known is not None:
            known.enough_since = None
        elif kind in self._reserves:
            self._reserves[kind].release()
            self.total += 1
            errors = max(0, shortage_counts().get(kind, 0) - 1)
            self._shortages[kind] = _Shortage(self._clock.now(), errors)
        self._begun.set()

    def check(self) -> None:
        """Give back what can be spared; end the shortages of what has been enough for a while."""
        for function in self._give_back:
            call_guarded(PART, function)
        now = self._clock.now()
        for kind, shortage in list(self._shortages.items()):
            self._report(kind, shortage, now)
            least = now - shortage.since >= PATIENCE_SECONDS
            if not self._reserves[kind].take(least=least):
                shortage.enough_since = None
            elif shortage.enough_since is None:
                shortage.enough_since = now
            elif now - shortage.enough_since >= STABLE_SECONDS:
                del self._shortages[kind]
                self._emit(Event.SHORTAGE_OVER, kind, shortage, now)

    def _run(self) -> None:
        while True:
            while self._shortages:
                self.check()
                self._clock.sleep(TRIAL_SECONDS)
            self._begun.clear()
            wait_any([self._begun], self._clock.now() + LOOK_SECONDS, self._clock)

    def _report(self, kind: str, shortage: _Shortage, now: float) -> None:
        if now >= shortage.next_report_at:
            shortage.next_report_at = now + REPORT_SECONDS
            gc.collect()
            trim()
            self._emit(Event.SHORTAGE, kind, shortage, now)

    def _emit(self, event: Event, kind: str, shortage: _Shortage, now: float) -> None:
        usage = read_usage()
        emit(
            logger,
            event,
            lacking=kind,
            errors=shortage_counts().get(kind, 0) - shortage.errors_before,
            seconds=round(now - shortage.since, 2),
            resident=usage.resident,
            address_space=usage.address_space,
        )
