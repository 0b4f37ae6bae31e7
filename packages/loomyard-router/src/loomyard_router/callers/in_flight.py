"""Requests in flight, so that a planned stop can wait for them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gevent.event import Event

if TYPE_CHECKING:
    from loomyard.clock import Clock

# A wait of timers does not count a suspension of the VM, the deadline of a stop does.
LOOK_SECONDS = 0.25


class InFlight:
    """Count requests from their arrival to the last byte of their answers."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._count = 0
        self._idle = Event()
        self._idle.set()

    def __len__(self) -> int:
        return self._count

    def enter(self) -> None:
        """Take in that a request arrived."""
        self._count += 1
        self._idle.clear()

    def leave(self) -> None:
        """Take in that an answer ended."""
        self._count -= 1
        if self._count == 0:
            self._idle.set()

    def wait_idle(self, deadline: float) -> bool:
        """Wait until nothing is in flight; false where the deadline came first."""
        while not self._idle.is_set():
            left = deadline - self._clock.now()
            if left <= 0.0:
                return False
            self._idle.wait(min(left, LOOK_SECONDS))
        return True
