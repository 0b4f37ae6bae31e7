"""Let decisions wait, once for each stall, until the feeds that they rest on were read again."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from gevent.event import Event as GeventEvent

from loomyard.events import Event, emit
from loomyard_router.supervision.tasks import start_task

if TYPE_CHECKING:
    from collections.abc import Sequence

    from loomyard.clock import Clock
    from loomyard_router.feeds.feed_follower import FeedFollower

logger = logging.getLogger(__name__)

# A store or a reader in reach confirms within so many seconds for which this process is awake.
CONFIRM_SECONDS = 0.5
STEP_SECONDS = 0.01
# A step that takes longer is another stall, in which the answer to a confirming read grew old.
STALL_SECONDS = 0.25
# A step counts for at most so much, so that a wait has ten steps at least, however slow they are.
MAX_STEP_SECONDS = 0.05
LOG_DIGITS = 3


class ReadGuard:
    """Guard decisions that rest on feeds of which the lease may have ended unnoticed.

    A process that stood still, or got too little processor time, finds requests in its sockets
    before it has read what happened meanwhile, and no timer tells it first. So each decision asks
    the guard, which compares two times. Where a lease has ended, all decisions wait for one
    confirming read; without an answer they go on with what is known, as in an outage.

    ``waits`` counts decisions that waited, ``confirmed`` and ``unconfirmed`` the reads.
    """

    def __init__(self, clock: Clock, followers: Sequence[FeedFollower]) -> None:
        self._clock = clock
        self._followers = tuple(followers)
        self._leases = tuple(follower.lease for follower in followers)
        self._ended: GeventEvent | None = None
        self._waiting = 0
        self.waits = 0
        self.confirmed = 0
        self.unconfirmed = 0

    @property
    def is_valid(self) -> bool:
        """Tell whether what was read of all feeds may be used now."""
        now = self._clock.now()
        return all(now < lease.valid_until for lease in self._leases)

    def ensure(self) -> bool:
        """Wait until all feeds may be used; return whether that took a wait."""
        has_waited = False
        while not self.is_valid:
            has_waited = True
            self._wait()
        return has_waited

    def _wait(self) -> None:
        ended = self._ended
        if ended is None:
            ended = self._ended = GeventEvent()
            try:
                start_task("feed confirmation", self._run, ended)
            except BaseException:
                self._end(ended)
                raise
        self.waits += 1
        self._waiting += 1
        ended.wait()

    def _run(self, ended: GeventEvent) -> None:
        began_at = self._clock.now()
        ages: dict[str, float] = {}
        try:
            for follower in self._followers:
                if follower.lease.has_expired:
                    ages[follower.name] = round(follower.lease.age, LOG_DIGITS)
            self._confirm()
        finally:
            requests, self._waiting = self._waiting, 0
            silent = self._end(ended)
        self.confirmed += not silent
        self.unconfirmed += bool(silent)
        emit(
            logger,
            Event.FEEDS_CONFIRMED,
            ages=ages,
            requests=requests,
            waited=round(self._clock.now() - began_at, LOG_DIGITS),
            silent=silent,
        )

    def _end(self, ended: GeventEvent) -> list[str]:
        """Let the decisions go on; return the feeds that were not read."""
        silent = []
        for follower in self._followers:
            if follower.lease.has_expired:
                follower.lease.excuse()
                silent.append(follower.name)
        self._ended = None
        ended.set()
        return silent

    def _confirm(self) -> None:
        """Wait until all leases are renewed, for ``CONFIRM_SECONDS`` or ten slow steps at most."""
        awake = 0.0
        asked: set[str] = set()
        while not self.is_valid and awake < CONFIRM_SECONDS:
            for follower in self._followers:
                if follower.name not in asked and follower.lease.has_expired:
                    asked.add(follower.name)
                    follower.confirm()
            began_at = self._clock.now()
            self._clock.sleep(STEP_SECONDS)
            step = self._clock.now() - began_at
            if step >= STALL_SECONDS:
                asked.clear()
            # Stalls don't count, so that a series of them ends no wait early.
            awake += min(step, MAX_STEP_SECONDS)
