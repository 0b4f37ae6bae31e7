"""Enforcement of the deadlines of exchanges with targets."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from loomyard_router.answer_wait import run_loop_pass
from loomyard_router.supervision.guard import call_guarded
from loomyard_router.supervision.tasks import start_task

if TYPE_CHECKING:
    from collections.abc import Callable

    import gevent

    from loomyard.clock import Clock

# Seconds between checks while there are exchanges; callers must learn of a passed deadline within
# half a second. A timer for each read would cost 15 of the 80 microseconds of processor time that
# a router spends on an event of a stream.
CHECK_SECONDS = 0.05


class Expirable(Protocol):
    """Something that is closed when its deadline passes."""

    def expire(self) -> None:
        """Close, as the deadline has passed; must not block."""


class DeadlineWatch:
    """Check all deadlines in one task, which runs only while there are any.

    A check that comes late lets the sockets be read first: an answer that reached them in time
    counts, even if this process stood still.
    """

    def __init__(self, clock: Clock, loop_pass: Callable[[Clock], float] = run_loop_pass) -> None:
        self._clock = clock
        self._loop_pass = loop_pass
        self._deadlines: dict[Expirable, float] = {}
        self._task: gevent.Greenlet | None = None

    def set_deadline(self, exchange: Expirable, deadline: float) -> None:
        """Set a deadline, replacing an earlier one."""
        self._deadlines[exchange] = deadline
        if self._task is None or self._task.dead:
            self._task = start_task("deadlines", self._run)

    def clear_deadline(self, exchange: Expirable) -> None:
        """Remove a deadline, as the exchange has ended."""
        self._deadlines.pop(exchange, None)

    def check(self) -> None:
        """Expire everything past its deadline."""
        now = self._clock.now()
        passed = [one for one, deadline in self._deadlines.items() if deadline <= now]
        for exchange in passed:
            del self._deadlines[exchange]
            call_guarded("deadlines", exchange.expire)

    def _run(self) -> None:
        try:
            while self._deadlines:
                due = self._clock.now() + CHECK_SECONDS
                self._clock.sleep(CHECK_SECONDS)
                if self._clock.now() - due > CHECK_SECONDS:
                    self._loop_pass(self._clock)
                self.check()
        finally:
            self._task = None
