"""What the calls of a follower tell about the times of the store."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from loomyard_router.feeds.feed import MAX_IDLE_SECONDS
from loomyard_router.feeds.read_lease import ReadLease
from loomyard_router.supervision.tasks import start_supervised

if TYPE_CHECKING:
    import gevent

    from loomyard.clock import Clock
    from loomyard_router.feeds.store_times import StoreTimes

# A store in reach answers an outstanding read within so many seconds after it accepted a record.
ANSWER_SECONDS = 0.15
# Seconds between looks at an outstanding read, and how late a look may come: a later one does not
# show that this process was awake, and the answer may have lain unread since before a pause.
LOOK_SECONDS = 0.25
MAX_LOOK_DELAY_SECONDS = 0.1


class ReadWatch:
    """Keep the ``StoreTimes`` and the lease of a feed up to date; one call is made at a time."""

    def __init__(self, clock: Clock, times: StoreTimes, lease: ReadLease | None = None) -> None:
        self._clock = clock
        self._times = times
        self._lease = lease or ReadLease(clock, math.inf, math.inf)
        self._polling_since = math.inf
        # By how much another router that is polled may be behind the store.
        self._poll_lag = 0.0
        self._task: gevent.Greenlet | None = None
        self._answered_at = -math.inf
        self._call_started_at = clock.now()
        self._in_reach_at = -math.inf
        self._poll_ends_at = -math.inf
        self._looked_up_to = -math.inf
        self._awake_at = -math.inf

    def start(self) -> None:
        """Start to look at outstanding reads."""
        self._task = start_supervised("read watch", self._clock, self._run)

    def stop(self) -> None:
        """End the task."""
        if self._task is not None:
            self._task.kill(block=False)

    def begin_call(self) -> None:
        """Record that a call to the store begins."""
        now = self._call_started_at = self._clock.now()
        # A connection that was idle for longer is not used again, and a new one is tried now.
        is_reused = now - self._answered_at <= MAX_IDLE_SECONDS
        self._in_reach_at = self._answered_at if is_reused else now

    def begin_read(self, poll_ends_at: float) -> None:
        """Record that the call is a read, which the store may hold until a time."""
        self._poll_ends_at = poll_ends_at
        self._looked_up_to = -math.inf
        self._times.begin_read(self._call_started_at, self._in_reach_at)

    def end_read(self) -> None:
        """Record that the read was answered or failed."""
        self._times.end_read()

    def record_answer(self) -> None:
        """Record that the read was answered, before what it returned is applied."""
        self._times.record_read(self._looked_up_to)

    def record_empty(self) -> None:
        """Record that a read returned nothing, which the store does at the end of its poll."""
        if self._clock.now() >= self._poll_ends_at:
            self._record_read(self._poll_ends_at)

    def record_applied(self) -> None:
        """Record that what the call returned was applied."""
        self._record_read(self._call_started_at)

    def end_call(self) -> None:
        """Record that the call was answered."""
        self._answered_at = self._clock.now()

    def record_failure(self) -> None:
        """Record that the call failed, unless this process may have slept through its answer."""
        awake_at = max(self._call_started_at, self._awake_at)
        if self._clock.now() - awake_at <= 2 * LOOK_SECONDS:
            self._times.record_failure(self._in_reach_at)
            self._lease.excuse()

    def begin_poll(self, poll_ends_at: float, *, lag: float) -> None:
        """Record that another router is polled, which is up to ``lag`` seconds behind the store."""
        self._polling_since, self._poll_lag = self._clock.now(), lag
        self._poll_ends_at = poll_ends_at

    def end_poll(self) -> None:
        """Record that the other router answered or failed."""
        self._polling_since = math.inf

    def record_polled(self, polled_at: float, *, most_lag: float) -> None:
        """Record that another router had nothing more at a time, after its answer was applied.

        ``most_lag`` is by how much it can have been behind at most.
        """
        self._times.record_read(polled_at - most_lag)
        self._lease.renew(polled_at - self._poll_lag)

    def _run(self) -> None:
        pause = LOOK_SECONDS
        while True:
            due = self._clock.now() + pause
            # A timer may fire early after a stall, as the loop starts it from a time of before.
            while self._clock.now() < due:
                self._clock.sleep(due - self._clock.now())
            now = self._clock.now()
            # After a stall an answer that lies in the socket is read long before the next look.
            is_late = now - due > MAX_LOOK_DELAY_SECONDS
            pause = ANSWER_SECONDS if is_late else LOOK_SECONDS
            if is_late:
                continue
            answer_due = min(self._times.reading_since, self._polling_since) + ANSWER_SECONDS
            if now < answer_due:
                pause = min(LOOK_SECONDS, answer_due - now)
            self._awake_at = now
            if now > self._poll_ends_at:
                continue
            if self._times.reading_since + ANSWER_SECONDS <= now:
                # Holds if the read is answered in the end.
                self._looked_up_to = now - ANSWER_SECONDS
                self._lease.renew(self._looked_up_to)
            elif self._polling_since + ANSWER_SECONDS <= now:
                self._lease.renew(now - ANSWER_SECONDS - self._poll_lag)

    def _record_read(self, up_to: float) -> None:
        self._times.record_read(up_to)
        self._lease.renew(up_to)
