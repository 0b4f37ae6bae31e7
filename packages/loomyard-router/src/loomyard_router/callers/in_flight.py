"""A counter of requests in flight, for which a graceful shutdown waits."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gevent.event import Event

if TYPE_CHECKING:
    from loomyard.clock import Clock

# Timers stand still while the VM is suspended, but the clock of the deadline does not; so one timer
# waits only this long before the deadline is checked again.
MAX_TIMER_SECONDS = 0.25


class InFlight:
    """Count requests from arrival to the last byte of the answer."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._count = 0
        self._idle = Event()
        self._idle.set()

    def __len__(self) -> int:
        return self._count

    def record_start(self) -> None:
        """Count a request that arrived."""
        self._count += 1
        self._idle.clear()

    def record_end(self) -> None:
        """Stop counting a request whose answer ended."""
        self._count -= 1
        if self._count == 0:
            self._idle.set()

    def wait_idle(self, deadline: float) -> bool:
        """Wait until nothing is in flight; return false if the deadline passes first."""
        while not self._idle.is_set():
            left = deadline - self._clock.now()
            if left <= 0.0:
                return False
            self._idle.wait(min(left, MAX_TIMER_SECONDS))
        return True
